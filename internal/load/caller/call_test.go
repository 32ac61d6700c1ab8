package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against retries that are not counted. When an entry reads an order on a
// reused connection and closes it without an answer, net/http by itself sends
// the request again if it has an idempotency key; the client would then report
// one attempt less than the entry received.
func TestEveryAttemptIsCounted(t *testing.T) {
	var seen, orders atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == EntriesPath {
			_, _ = io.WriteString(w, `{"entries":[{"address":"`+r.Host+`"}]}`)
			return
		}
		_, _ = io.ReadAll(r.Body)
		seen.Add(1)
		if orders.Add(1) == 2 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
	}))
	defer s.Close()
	c := New(Options{Seeds: []string{strings.TrimPrefix(s.URL, "http://")}}, []string{"token"})
	defer c.Close()
	sent, ambiguous := 0, false
	for range 3 {
		out := c.Call(t.Context(), &Call{Service: "parts", Method: http.MethodPost, Path: "/orders", Body: []byte("{}"), Key: "k"})
		assert.Equal(t, out.End, Answered, "%v", out.Err)
		sent += out.Sent
		ambiguous = ambiguous || out.Ambiguous
	}
	assert.Equal(t, int(seen.Load()), sent)
	assert.Equal(t, sent, 4)
	assert.Assert(t, ambiguous, "an order whose connection was closed counts as not run")
}

func TestCallKeepsTheServersVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{entries: []string{"a", "b"}, answers: []func() (*http.Response, error){
			answers(503, `{"verdict":"not-run"}`),
			answers(502, `{"verdict":"ran"}`),
			answers(200, `{}`),
		}}
		c := New(Options{Transport: s, Seeds: []string{"a"}}, []string{"token"})
		call := &Call{Service: "parts", Method: http.MethodGet, Path: "/stock/1"}
		out := c.Call(t.Context(), call)
		assert.Equal(t, out.End, Refused)
		assert.Equal(t, out.Verdict, verdict.Ran)
		assert.Assert(t, out.FromServer && !out.Ambiguous)
		assert.Equal(t, c.Call(t.Context(), call).End, Answered)
		// Later requests avoid the entry that answered 503 as well.
		assert.DeepEqual(t, s.requests, []string{
			"GET a /v1/services/parts/stock/1 ", "GET b /v1/services/parts/stock/1 ", "GET b /v1/services/parts/stock/1 ",
		})
	})
}

// Guards against a call that counts as answered by an answer that isn't an entry's.
func TestAnswerWithAnInvalidHeadIsBroken(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 042 OK\r\n", "HTTP/1.1 200 OK\r\nNo ise: x\r\n", "HTTP/1.1 200 OK\r\nNoise : x\r\n"} {
		address := earlyanswer.Serve(t, func(r *http.Request) (string, earlyanswer.End) {
			if r.URL.Path == EntriesPath {
				entries := `{"entries":[{"address":"` + r.Host + `"}]}`
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(entries), entries), earlyanswer.ReadOn
			}
			return head + "Content-Length: 2\r\n\r\n{}", earlyanswer.ReadOn
		})
		c := New(Options{Seeds: []string{address}, MaxRetries: 1}, []string{"token"})
		out := c.Call(t.Context(), &Call{Service: "parts", Method: http.MethodPost, Path: "/orders", Body: []byte("{}")})
		c.Close()
		assert.Check(t, out.End != Answered, "%q", head)
		assert.Check(t, out.Verdict == verdict.MayHaveRun, "%q: %v", head, out.Verdict)
	}
}
