package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// script is a transport that answers requests with the elements of a list, in
// order, and records the requests. Requests for the list of entries are answered
// with entries and not recorded.
type script struct {
	entries  []string
	answers  []func() (*http.Response, error)
	requests []string // "METHOD host path last-event-id"
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == EntriesPath {
		list := `{"entries":[{"address":"` + strings.Join(s.entries, `"},{"address":"`) + `"}]}`
		return response(200, list, "Cache-Control", "max-age=10"), nil
	}
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s %s", r.Method, r.URL.Host, r.URL.Path, r.Header.Get(lastEventHeader)))
	if len(s.answers) == 0 {
		return nil, errors.New("the script has no more answers")
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer()
}

func response(status int, body string, header ...string) *http.Response {
	h := http.Header{}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

func answers(status int, body string, header ...string) func() (*http.Response, error) {
	return func() (*http.Response, error) { return response(status, body, header...), nil }
}

// breaksAfter answers with the body, after which reading fails.
func breaksAfter(body string) func() (*http.Response, error) {
	return func() (*http.Response, error) {
		r := response(200, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)))
		return r, nil
	}
}

// tokens returns the events of the tokens with the given numbers, inclusive, as
// an entry writes them.
func tokens(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\" w%d\"},\"finish_reason\":null}]}\n\n", n, n)
	}
	return b.String()
}

const (
	acceptance = "id: 0\nevent: accepted\ndata: {\"id\":\"k\"}\n\n"
	ending     = "id: 9\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":4}}\n\nid: 10\ndata: [DONE]\n\n"
)

// complete runs one completion against a script of two entries in virtual time.
func complete(t *testing.T, s *script) *Outcome {
	t.Helper()
	s.entries = []string{"a", "b"}
	c := New(Options{Transport: s, Seeds: []string{"seed"}, ProgressTimeout: time.Second}, []string{"token"})
	return c.Complete(context.Background(), &Completion{Key: "k", Body: []byte("{}")})
}

func TestAnswerContinuesAfterFailuresAndMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []func() (*http.Response, error){
			breaksAfter(acceptance + tokens(1, 2)),
			answers(404, `{"verdict":"not-run"}`),
			answers(200, acceptance+tokens(3, 3)+"id: 3\nevent: moved\ndata: {\"address\":\"c\"}\n\n"),
			answers(200, acceptance+tokens(4, 4)+ending),
		}}
		out := complete(t, s)
		assert.Equal(t, out.End, Answered, "%v", out.Err)
		assert.Equal(t, string(out.Text), " w1 w2 w3 w4")
		assert.DeepEqual(t, []int{out.Tokens, out.Missing, out.Duplicated, out.Sent, out.Resumes, out.Moves}, []int{4, 0, 0, 1, 2, 1})
		assert.Equal(t, out.Usage.CompletionTokens, 4)
		assert.DeepEqual(t, out.Reasons, []string{"connection broken", "404 not-run"})
		assert.DeepEqual(t, s.requests, []string{
			"POST a /v1/chat/completions ",
			"GET b /v1/requests/k/events 2",
			"GET b /v1/requests/k/events 2",
			"GET c /v1/requests/k/events 3",
		})
	})
}

// Guards against an entry that, after a resume, repeats a token and skips
// another: the answer would look whole but have the wrong text. The check of
// offsets must count both.
func TestMissingAndDuplicatedTokensAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := complete(t, &script{answers: []func() (*http.Response, error){
			breaksAfter(acceptance + tokens(1, 2)),
			answers(200, acceptance+tokens(2, 2)+tokens(4, 4)+ending),
		}})
		assert.Equal(t, out.End, Answered)
		assert.DeepEqual(t, []int{out.Duplicated, out.Missing}, []int{1, 1})
	})
}

func TestRefusalIsRetriedAfterRetryAfterAndKeepsItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := answers(429, `{"status":429}`, "Retry-After", "2", verdict.Header, "not-run")
		start := time.Now()
		out := complete(t, &script{answers: []func() (*http.Response, error){busy, busy, busy, busy}})
		assert.Equal(t, out.End, Refused)
		assert.Equal(t, out.Verdict, verdict.NotRun)
		assert.Assert(t, out.FromServer && !out.NoVerdict && !out.Ambiguous)
		assert.Equal(t, out.Sent, 4)
		assert.Assert(t, time.Since(start) >= 6*time.Second)
	})
}

func TestEndsOfRequests(t *testing.T) {
	failure := "id: 2\nevent: error\ndata: {\"status\":502,\"verdict\":\"may-have-run\"}\n\n"
	for name, c := range map[string]struct {
		answers []func() (*http.Response, error)
		end     End
		verdict verdict.Verdict
		silent  bool // the failure answer has no verdict
	}{
		"wrong request":                 {[]func() (*http.Response, error){answers(400, `{"verdict":"not-run"}`)}, Refused, verdict.NotRun, false},
		"refused without verdict":       {[]func() (*http.Response, error){answers(404, "gone")}, Refused, verdict.MayHaveRun, true},
		"failed once accepted":          {[]func() (*http.Response, error){answers(200, acceptance+tokens(1, 2)+failure)}, Failed, verdict.MayHaveRun, false},
		"accepted, never reached again": {[]func() (*http.Response, error){answers(200, acceptance)}, Lost, verdict.MayHaveRun, false},
		"no entry reached":              {nil, Unreached, verdict.MayHaveRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := complete(t, &script{answers: c.answers})
				assert.Equal(t, out.End, c.end, "%v", out.Err)
				assert.Equal(t, out.Verdict, c.verdict)
				assert.Equal(t, out.NoVerdict, c.silent)
			})
		})
	}
}

// Guards against a connection that a middlebox between caller and entry no longer
// tracks: the stream stops without an error and a read would block for ever.
// After the progress timeout the caller must close it and resume at another entry.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []func() (*http.Response, error){nil, answers(200, tokens(2, 4)+ending)}}
		s.answers[0] = func() (*http.Response, error) {
			r := response(200, "")
			r.Body = &stalledBody{Reader: strings.NewReader(acceptance + tokens(1, 1)), closed: make(chan struct{})}
			return r, nil
		}
		// The real transport closes the body when the request's context ends.
		c := New(Options{Transport: closeOnCancel{s}, Seeds: []string{"a", "b"}, ProgressTimeout: time.Second}, []string{"token"})
		s.entries = []string{"a", "b"}
		out := c.Complete(context.Background(), &Completion{Key: "k"})
		assert.Equal(t, out.End, Answered, "%v", out.Err)
		assert.Equal(t, string(out.Text), " w1 w2 w3 w4")
		assert.Equal(t, s.requests[1], "GET b /v1/requests/k/events 1")
	})
}

// Guards against a wrong count of an accepted request whose entry becomes
// unreachable, and whose resumes are refused with a long Retry-After until the
// caller's own timeout. Accepted requests must be answered, so it must count as
// lost and not as unfinished at the end of the run.
func TestAcceptedRequestThatTimesOutIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := answers(503, `{"verdict":"not-run"}`, "Retry-After", "9")
		s := &script{answers: []func() (*http.Response, error){answers(200, acceptance), busy, busy, busy}}
		c := New(Options{Transport: s, Seeds: []string{"a"}, RequestTimeout: 15 * time.Second}, []string{"token"})
		s.entries = []string{"a"}
		assert.Equal(t, c.Complete(t.Context(), &Completion{Key: "k"}).End, Lost)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s.answers = []func() (*http.Response, error){busy, busy}
		c = New(Options{Transport: s, Seeds: []string{"a"}}, []string{"token"})
		assert.Equal(t, c.Complete(ctx, &Completion{Key: "k"}).End, Unreached)
		cut, end := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, end)
		s.answers = []func() (*http.Response, error){busy, busy}
		assert.Equal(t, c.Complete(cut, &Completion{Key: "k"}).End, Unfinished)
	})
}

// stalledBody returns its text and then blocks until it is closed.
type stalledBody struct {
	io.Reader
	closed chan struct{}
}

func (s *stalledBody) Read(p []byte) (int, error) {
	if n, err := s.Reader.Read(p); err == nil {
		return n, nil
	}
	<-s.closed
	return 0, io.ErrClosedPipe
}

func (s *stalledBody) Close() error { return nil }

// closeOnCancel closes stalled bodies when their request's context ends.
type closeOnCancel struct{ http.RoundTripper }

func (c closeOnCancel) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if s, ok := resp.Body.(*stalledBody); ok {
		context.AfterFunc(r.Context(), func() { close(s.closed) })
	}
	return resp, nil
}
