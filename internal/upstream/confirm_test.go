package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// runServer states a run, and counts the requests of each kind.
func runServer(t *testing.T, report string, asked, sent *int) string {
	return serveScript(t, func(_ int, r *http.Request) string {
		if r.URL.Path == "/run" {
			*asked++
			return report
		}
		*sent++
		return answerText(r.Header.Get("Id"), "one")
	})
}

func runReport(status int, run string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(run), run)
}

// confirmedCall is a call whose connection must reach run a, unless it was established long ago.
func confirmedCall(address, id string) *Call {
	c := newCall(address, id)
	c.EstablishedBy = time.Now().Add(-time.Hour)
	c.Confirm = &Confirmation{Run: "a", Target: "/run", Host: "h", Check: func(body []byte) bool { return string(body) == "a" }}
	return c
}

// Guards against a request that reaches a process which has started in place of the expected one.
func TestRequestReachesTheExpectedRunOnly(t *testing.T) {
	for name, report := range map[string]string{
		"another run":         runReport(200, "b"),
		"a failure":           runReport(500, "a"),
		"a refusal":           runReport(400, ""),
		"no answer":           "",
		"a broken answer":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
		"more than it says":   runReport(200, "a") + "more",
		"an endless head":     "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxHeadBytes),
		"a body that is long": runReport(200, strings.Repeat("a", 2*maxConfirmBytes)),
	} {
		asked, sent := 0, 0
		p := NewPool(1, DialTCP)
		_, err := p.Send(t.Context(), confirmedCall(runServer(t, report, &asked, &sent), "1"))
		assert.ErrorIs(t, err, ErrOtherRun, name)
		assert.Equal(t, verdict.Of(err), verdict.NotRun, name)
		assert.Equal(t, sent, 0, name)
		assert.Equal(t, p.Stats().Unconfirmed, uint64(1), name)
	}
}

// Guards against a run that is confirmed by bytes which are no answer to the probe.
func TestInvalidAnswerConfirmsNoRun(t *testing.T) {
	for name, report := range map[string]string{
		"another request's":            "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1\r\n\r\na",
		"a copy of this request's":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na",
		"trailer of another request's": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nId: 7\r\n\r\n",
		"HTTP/2":                       "HTTP/2.0 200 OK\r\nContent-Length: 1\r\n\r\na",
		"name with a space":            "HTTP/1.1 200 OK\r\nNo ise: x\r\nContent-Length: 1\r\n\r\na",
		"joined heads":                 "HTTP/1.1 200 OK\r\nNoise: xHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"ends with its connection":     "HTTP/1.1 200 OK\r\n\r\na",
	} {
		for _, optional := range []bool{false, true} {
			asked, sent := 0, 0
			c := confirmedCall(runServer(t, report, &asked, &sent), "1")
			c.Confirm.Optional = optional
			p := NewPool(1, DialTCP)
			_, err := p.Send(t.Context(), c)
			assert.Check(t, errors.Is(err, ErrOtherRun), "%s: %v", name, err)
			assert.Check(t, sent == 0, name)
			assert.Check(t, p.Stats().Confirmed == 0, name)
		}
	}
}

func TestConnectionIsConfirmedOnce(t *testing.T) {
	asked, sent := 0, 0
	p := NewPool(1, DialTCP)
	address := runServer(t, runReport(200, "a"), &asked, &sent)
	for i := range 3 {
		body, err := sendAndRead(t, p, confirmedCall(address, fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, body, "one")
	}
	assert.Equal(t, asked, 1)
	assert.Equal(t, p.Stats().Dialled, uint64(1))
	other := confirmedCall(address, "4")
	other.Confirm.Run, other.Confirm.Check = "b", func(body []byte) bool { return string(body) == "b" }
	_, err := p.Send(t.Context(), other)
	assert.ErrorIs(t, err, ErrOtherRun)
	assert.Equal(t, sent, 3)
}

// An endpoint that is silent must not hold a request for longer than it takes to ask.
func TestConfirmationEndsWithItsTimeout(t *testing.T) {
	silent := make(chan struct{})
	address := serveScript(t, func(int, *http.Request) string { <-silent; return "" })
	defer close(silent)
	began := time.Now()
	_, err := NewPool(1, DialTCP).Send(t.Context(), confirmedCall(address, "1"))
	assert.ErrorIs(t, err, ErrOtherRun)
	assert.Assert(t, time.Since(began) < 10*confirmTimeout)
}

// Guards against calls that may go to any run and are refused since an endpoint states none.
func TestOptionalConfirmationTakesAnyRunThatAnswers(t *testing.T) {
	for report, run := range map[string]string{runReport(200, "a"): "a", runReport(200, "b"): "", runReport(404, "a"): ""} {
		asked, sent := 0, 0
		p := NewPool(1, DialTCP)
		address := runServer(t, report, &asked, &sent)
		for i := range 2 {
			c := confirmedCall(address, fmt.Sprint(i))
			c.Confirm.Optional = true
			a, err := p.Send(t.Context(), c)
			assert.NilError(t, err)
			assert.Equal(t, a.Run(), run)
			_, err = io.ReadAll(a.Body)
			assert.NilError(t, err)
			a.Close()
		}
		assert.Equal(t, asked, 1)
		assert.Equal(t, sent, 2)
	}
	asked, sent := 0, 0
	c := confirmedCall(runServer(t, "", &asked, &sent), "1")
	c.Confirm.Optional = true
	_, err := NewPool(1, DialTCP).Send(t.Context(), c)
	assert.ErrorIs(t, err, ErrOtherRun)
	assert.Equal(t, sent, 0)
}
