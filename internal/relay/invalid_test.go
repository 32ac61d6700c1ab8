package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const ownHead = "HTTP/1.1 200 OK\r\nId: ID\r\n"

// invalidAnswers are answers that no endpoint sends, with a body in the place of BODY, by their kinds.
var invalidAnswers = map[string][]string{
	"invalid-head": {
		"x7 noise\r\n\r\n",
		"HTTP/2.0 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		ownHead + "no ise: 1\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		ownHead + "Transfer-Encoding : chunked\r\n\r\nBODY0\r\n\r\n",
		ownHead + "no\x01ise: 1\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		ownHead + "Content-Length: 3\r\nContent-Length: 2\r\n\r\none",
	},
	"invalid-status": {
		"HTTP/1.1 000 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		"HTTP/1.1 042 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		"HTTP/1.1 099 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
		"HTTP/1.1 600 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n",
	},
	"several-requests": {ownHead + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n"},
	"invalid-framing":  {ownHead + "Transfer-Encoding: chunked\r\n\r\nnoise\r\n"},
	"foreign-trailer":  {ownHead + "Transfer-Encoding: chunked\r\n\r\nBODY0\r\nId: other\r\n\r\n"},
	"encoded":          {ownHead + "Encoding: x\r\nTransfer-Encoding: chunked\r\n\r\nBODY0\r\n\r\n"},
}

// Guards against bytes that reach the caller as its answer though no endpoint has sent them as one.
func TestInvalidAnswersNeverReachTheCaller(t *testing.T) {
	for kind, answers := range invalidAnswers {
		for n, answer := range answers {
			for _, path := range []string{"/order/1", "/lookup/1", "/once/1", "/stream/1"} {
				t.Run(fmt.Sprint(kind, n, path), func(t *testing.T) {
					s := newFixture(t, testRoutes(), &engine{}, &engine{})
					for _, e := range s.engines {
						e.script = func(_ int, r *http.Request) string {
							if s.runs() == 1 {
								return strings.ReplaceAll(answer, "BODY", chunk(soundEvents(1, 2)))
							}
							after := 0
							_, _ = fmt.Sscan(r.Header.Get("After"), &after)
							return response(200, soundEvents(after+1, 2))
						}
					}
					got := s.send(t.Context(), path)
					assert.DeepEqual(t, s.recorder.invalid, []string{kind})
					if path == "/lookup/1" || path == "/stream/1" {
						assert.Assert(t, got.ended && !got.aborted)
						assert.Equal(t, got.status, 200)
						assert.Equal(t, got.body.String(), soundEvents(1, 2))
						assert.Assert(t, s.engines[0].runs() == 1 && s.engines[1].runs() == 1)
						return
					}
					assert.Assert(t, !got.ended && (got.aborted || got.refusal.Verdict == verdict.MayHaveRun))
					assert.Equal(t, s.recorder.last.Reason, Broken)
					assert.Equal(t, s.runs(), 1)
				})
			}
		}
	}
}

// Guards against a new stream without events that looks complete.
func TestNewStreamThatEndsBeforeItsFirstEventIsBroken(t *testing.T) {
	for framing, frame := range framings {
		for _, body := range []string{"", ": comment\n\n", "\n"} {
			if framing == "chunked" && body == "" {
				frame = func(string) string { return streamHead() + "0\r\n\r\n" }
			}
			s := newFixture(t, testRoutes(), alwaysAnswers(frame(body)), alwaysAnswers(frame(body)))
			got := s.send(t.Context(), "/once/1")
			assert.Assert(t, !got.ended, "%s %q", framing, body)
			assert.Equal(t, s.recorder.last.Reason, Broken, "%s %q", framing, body)
			assert.DeepEqual(t, s.recorder.invalid, []string{"no-events"})
		}
	}
}

// Guards against a stream whose last event was the one that a caller has, or an endpoint before, and that counts as
// broken.
func TestStreamThatGoesOnMayHoldNoFurtherEvent(t *testing.T) {
	script := func(_ int, r *http.Request) string {
		if r.Header.Get("After") == "" {
			return streamHead() + chunk(soundEvents(1, 2)+"id: 3\ncut")
		}
		return streamHead() + "0\r\n\r\n"
	}
	s := newFixture(t, testRoutes(), &engine{script: script}, &engine{script: script})
	got := s.send(t.Context(), "/stream/1")
	assert.Assert(t, got.ended && !got.aborted)
	assert.Equal(t, got.body.String(), soundEvents(1, 2))
}

// Guards against bytes after a whole answer that go unnoticed, or that spoil the answer before them.
func TestBytesAfterAnAnswerAreReported(t *testing.T) {
	for path, answer := range map[string]struct{ bytes, body string }{
		"/order/1":  {response(200, "done"), "done"},
		"/lookup/1": {streamHead() + chunk("done") + "0\r\n\r\n", "done"},
		"/once/1":   {streamHead() + chunk(soundEvents(1, 2)) + "0\r\n\r\n", soundEvents(1, 2)},
	} {
		s := newFixture(t, testRoutes(), alwaysAnswers(answer.bytes+response(200, "more")))
		for n := range 2 {
			got := s.send(t.Context(), path)
			assert.Assert(t, got.ended && !got.aborted, path)
			assert.Equal(t, got.body.String(), answer.body, path)
			assert.Equal(t, len(s.recorder.invalid), n+1, path)
			assert.Equal(t, s.recorder.invalid[n], "bytes-after-answer")
		}
	}
}

// Guards against invalid answers that an endpoint is not avoided for.
func TestEndpointOfInvalidAnswersIsAvoided(t *testing.T) {
	for kind, answers := range invalidAnswers {
		bad := alwaysAnswers(strings.ReplaceAll(answers[0], "BODY", chunk("x")))
		s := newFixture(t, []route.Route{lookupRoute}, bad, alwaysAnswers(response(200, "done")), alwaysAnswers(response(200, "done")))
		for range 20 {
			assert.Equal(t, s.send(t.Context(), "/lookup/1").body.String(), "done")
		}
		assert.Assert(t, bad.runs() <= 3, "%s: %d of 20 requests", kind, bad.runs())
	}
}

// Guards against silence that counts like a faulty answer, and the reverse.
func TestSilenceAndFaultyAnswersAreToldApart(t *testing.T) {
	reached := attemptResult{reached: true, verdict: verdict.MayHaveRun}
	for _, c := range []struct {
		err  error
		want balance.Outcome
	}{
		{upstream.ErrSilent, balance.Silent},
		{verdict.Wrap(verdict.MayHaveRun, upstream.ErrSilent), balance.Silent},
		{context.DeadlineExceeded, balance.Silent},
		{os.ErrDeadlineExceeded, balance.Silent},
		{io.ErrUnexpectedEOF, balance.Failed},
		{&upstream.InvalidError{Kind: upstream.InvalidHead}, balance.Failed},
		{&invalidStream{Fault: &eventstream.Fault{}}, balance.Failed},
	} {
		assert.Equal(t, balanceOutcome(t.Context(), reached, c.err), c.want, "%v", c.err)
	}
	whole := attemptResult{reached: true, class: Success, complete: true, verdict: verdict.Ran}
	assert.Equal(t, balanceOutcome(t.Context(), whole, nil), balance.Answered)
	whole.trailing = true
	assert.Equal(t, balanceOutcome(t.Context(), whole, nil), balance.Failed)
	refused := attemptResult{reached: true, class: Refused, complete: true, verdict: verdict.NotRun, trailing: true}
	assert.Equal(t, balanceOutcome(t.Context(), refused, nil), balance.Refused)
}

// Guards against statements that are taken from a head which can't be an endpoint's.
func TestInvalidHeadStatesNothing(t *testing.T) {
	answer := ownHead + "Encoding: x\r\nRate-Limit: 0\r\nContent-Length: 3\r\n\r\none"
	s := newFixture(t, testRoutes(), alwaysAnswers(answer))
	s.send(t.Context(), "/lookup/1")
	assert.Check(t, len(s.recorder.invalid) > 0)
	assert.Check(t, len(s.recorder.limits) == 0, "limits %v", s.recorder.limits)
}

// Guards against noise at the end of a well-framed answer that counts as a crash of its endpoint, for which requests
// are held, and is neither logged nor counted as invalid.
func TestNoiseAtTheEndIsNoCrash(t *testing.T) {
	for _, path := range []string{"/stream/1", "/once/1"} {
		s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+chunk(soundEvents(1, 2)+"x7 noise")+"0\r\n\r\n"))
		s.send(t.Context(), path)
		assert.Check(t, len(s.recorder.cuts) == 0, "%s: %d ends of the endpoint", path, len(s.recorder.cuts))
		assert.Check(t, len(s.recorder.invalid) > 0, "%s: not reported as invalid", path)
		assert.Check(t, !slices.ContainsFunc(s.recorder.invalid, func(k string) bool { return k != "partial-event" }), "%v", s.recorder.invalid)
	}
}

// Guards against a stream that a caller asks to go on and that begins neither at its first event nor after the
// caller's last one, or holds none and looks complete, where streams can't be resumed.
func TestStreamBeginsAnewOrAfterTheLastEvent(t *testing.T) {
	for body, ends := range map[string]bool{
		soundEvents(3, 4): false, soundEvents(9, 9): false, ": x7\n\n": false,
		soundEvents(1, 4): true, soundEvents(6, 7): true,
	} {
		s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+chunk(body)+"0\r\n\r\n"))
		out := &recordingSink{}
		now := time.Now()
		s.relay.Serve(t.Context(), &Request{
			ID: "r1", Method: "POST", Target: "/once/1", Path: "/once/1", Host: "h", Key: "key", LastEvent: "5",
			Received: now, Deadline: now.Add(time.Minute),
		}, out)
		assert.Check(t, out.ended == ends, "%q: complete: %v", body, out.ended)
	}
}

// Guards against a stream from its start, which a caller asks for with the id 0, that has lost all of its events and
// looks complete.
func TestStreamAfterEventZeroHoldsTheFirst(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+"0\r\n\r\n"))
	out := &recordingSink{}
	r := streamRoute
	r.Timeout, r.Target = time.Minute, time.Minute
	s.relay.ServeForwarded(t.Context(), &ForwardedRequest{
		Request: &Request{ID: "r1", Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", LastEvent: "0"},
		Route:   r, Service: "s", Pinned: true, TimeLeft: time.Minute,
	}, out)
	assert.Check(t, !out.ended, "looks complete, refusal %v", out.refusal)
}

// Guards against an endpoint that sends bytes after whole answers and isn't avoided.
func TestEndpointOfBytesAfterAnswersIsAvoided(t *testing.T) {
	bad := alwaysAnswers(response(200, "done") + response(200, "more"))
	s := newFixture(t, []route.Route{lookupRoute}, bad, alwaysAnswers(response(200, "done")), alwaysAnswers(response(200, "done")))
	for range 20 {
		assert.Equal(t, s.send(t.Context(), "/lookup/1").body.String(), "done")
	}
	assert.Assert(t, bad.runs() >= 1 && bad.runs() <= 3, "%d of 20 requests", bad.runs())
}

// Guards against a statement that a request was not run, taken from a head which can't be an endpoint's.
func TestInvalidHeadDoesNotProveThatARequestWasNotRun(t *testing.T) {
	answer := "HTTP/1.1 503 X\r\nId: ID\r\nEncoding: x\r\nContent-Length: 3\r\n\r\none"
	s := newFixture(t, testRoutes(), alwaysAnswers(answer), alwaysAnswers(answer))
	got := s.send(t.Context(), "/order/1")
	assert.Assert(t, got.refusal != nil)
	assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
	assert.Equal(t, s.recorder.last.Verdict, verdict.MayHaveRun)
	assert.Equal(t, s.runs(), 1)
}
