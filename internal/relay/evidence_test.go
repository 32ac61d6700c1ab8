package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// statedProtocol takes a request as not run only where the answer's header says so.
type statedProtocol struct{ plainProtocol }

func (statedProtocol) Classify(status int, h http.Header) Class {
	switch {
	case h.Get("Not-Run") != "" && status < 300:
		return Failure
	case h.Get("Not-Run") != "":
		return Refused
	case status == http.StatusMisdirectedRequest:
		return Misdirected
	case status < 300:
		return Success
	case status < 500:
		return Rejected
	}
	return Failure
}

// Guards against an endpoint's status that is passed on as a guarantee that an order was not run.
func TestStatusOfAnEndpointIsNoProof(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1"} {
		for _, status := range []int{408, 429, 503} {
			for _, body := range []string{"failed", string(make([]byte, maxBufferedBytes+1))} {
				s := newFixture(t, testRoutes(), alwaysAnswers(response(status, body)), alwaysAnswers(response(status, body)))
				s.relay.protocol = statedProtocol{}
				got := s.send(t.Context(), path)
				assert.Assert(t, got.refusal != nil, "%s, status %d: %d bytes with status %d", path, status, got.body.Len(), got.status)
				assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
				assert.Equal(t, s.runs(), 1)
				assert.Equal(t, s.recorder.last.Evidence, delivery.StatusAlone)
			}
		}
	}
}

// Guards against a refusal by something before an endpoint, which gets the request all the same.
func TestAnswerThatNamesNoRequestIsNoProof(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/lookup/1"} {
		for _, answer := range []string{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"} {
			s := newFixture(t, testRoutes(), alwaysAnswers(answer), alwaysAnswers(answer))
			s.relay.protocol = statedProtocol{}
			got := s.send(t.Context(), path)
			assert.Assert(t, got.refusal != nil, "%s: status %d", path, got.status)
			assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
			assert.Equal(t, s.recorder.last.Evidence, delivery.EndpointUnnamed)
			assert.Assert(t, s.recorder.last.Unproven())
		}
	}
}

// Guards against a success whose endpoint states that it has not run the request.
func TestContradictorySuccessIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/lookup/1", "/stream/1"} {
		answer := "HTTP/1.1 200 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ndone"
		s := newFixture(t, testRoutes(), alwaysAnswers(answer), alwaysAnswers(answer))
		s.relay.protocol = statedProtocol{}
		got := s.send(t.Context(), path)
		assert.Assert(t, got.refusal != nil, "%s: status %d", path, got.status)
		assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		assert.Equal(t, s.recorder.last.Evidence, delivery.Contradiction)
	}
}

func TestStatusOfAFailedLookupIsPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 500, 503} {
		s := newFixture(t, testRoutes(), alwaysAnswers(response(status, "failed")))
		s.relay.protocol = statedProtocol{}
		assert.Equal(t, s.send(t.Context(), "/lookup/1").status, status)
	}
}
