package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// failingConn fails all writes before the kernel takes a byte.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// hangingConn blocks in Write until it is closed and then reports one byte as
// written.
type hangingConn struct {
	net.Conn
	closed chan struct{}
}

func (c *hangingConn) Write(p []byte) (int, error) {
	<-c.closed
	return 1, io.ErrClosedPipe
}

func (c *hangingConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

func TestVerdictOfAFailedSend(t *testing.T) {
	pipeEnd := func() net.Conn {
		c, _ := net.Pipe()
		return c
	}
	cases := []struct {
		name string
		dial DialFunc
		want verdict.Verdict
	}{
		{"no connection", func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrNoProgress }, verdict.NotRun},
		{"dial hangs", func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, verdict.NotRun},
		{"nothing written", func(context.Context, string, string) (net.Conn, error) { return failingConn{pipeEnd()}, nil }, verdict.NotRun},
		{"write hangs", func(context.Context, string, string) (net.Conn, error) {
			return &hangingConn{Conn: pipeEnd(), closed: make(chan struct{})}, nil
		}, verdict.MayHaveRun},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					services := NewServices(Options{Dial: c.dial, MaxConns: 1})
					defer services.Close()
					call := newOrder("key", "x", once)
					call.AnswerTimeout = 2 * DefaultDialTimeout
					for range 2 { // the first must free its connection's slot
						_, err := services.Do(t.Context(), address, call)
						assert.Equal(t, verdict.Of(err), c.want, "%v", err)
						assert.Assert(t, !errors.Is(err, ErrTooManyConns))
					}
				})
			})
		}
	}
}

// recordingConn records what was written to it.
type recordingConn struct {
	net.Conn
	got []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.got = append(c.got, p...)
	return len(p), nil
}

// A request is cancelled while another goroutine is about to write it. Once the
// verdict is that it didn't run, no byte of it may be written.
func TestNothingIsWrittenAfterTheNotRunVerdict(t *testing.T) {
	var inner recordingConn
	c := newConn(&inner, func() {})
	assert.Assert(t, c.sealUnwritten(0))
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
	assert.Equal(t, len(inner.got), 0)
}

// A request is cancelled while its first write is in progress. Whether the kernel
// accepted bytes isn't known yet, so it may have run.
func TestNoNotRunVerdictDuringAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &hangingConn{Conn: &net.TCPConn{}, closed: make(chan struct{})}
		c := newConn(inner, func() {})
		go func() { _, _ = c.Write([]byte("x")) }()
		synctest.Wait()
		assert.Assert(t, !c.sealUnwritten(0))
		_ = c.Close()
	})
}

// withService runs f against a plain service on a fake clock.
func withService(t *testing.T, h http.HandlerFunc, f func(t *testing.T, c *Services)) {
	synctest.Test(t, func(t *testing.T) {
		c := NewServices(Options{Dial: servePipe(t, h).dial, MaxConns: 2})
		defer c.Close()
		f(t, c)
	})
}

func TestServiceAnswers(t *testing.T) {
	var received *http.Request
	h := func(w http.ResponseWriter, r *http.Request) {
		received = r
		switch r.URL.Path {
		case "/unavailable":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/moved":
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		default:
			w.Header().Set("X-Kept", "yes")
			w.Header().Set("Keep-Alive", "timeout=5")
		}
	}
	withService(t, h, func(t *testing.T, c *Services) {
		get := func(target string) *Answer {
			header := http.Header{
				"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"},
				"Authorization": {"Bearer secret"}, "Idempotency-Key": {"k"},
			}
			answer, err := c.Do(t.Context(), address, ServiceRequest{Method: http.MethodGet, Target: target, Header: header})
			assert.NilError(t, err)
			readAndClose(t, answer.Body)
			return answer
		}
		answer := get("/a%2Fb?q=1")
		assert.Equal(t, answer.Verdict(), verdict.Ran)
		assert.Equal(t, answer.Header.Get("X-Kept"), "yes")
		assert.Equal(t, answer.Header.Get("Keep-Alive"), "")
		assert.Equal(t, received.RequestURI, "/a%2Fb?q=1")
		assert.DeepEqual(t, received.Header, http.Header{"Idempotency-Key": {"k"}})
		assert.Equal(t, get("/unavailable").Verdict(), verdict.MayHaveRun)
		assert.Equal(t, get("/moved").Status, http.StatusTemporaryRedirect)
		for _, target := range []string{"", "stock", "http://elsewhere/stock", "*"} {
			_, err := c.Do(t.Context(), address, ServiceRequest{Method: http.MethodGet, Target: target})
			assert.Equal(t, verdict.Of(err), verdict.NotRun, target)
		}
	})
}

// The service runs a call, sends half of its answer and nothing more. The caller
// must learn within the timeout that the call ran.
func TestStallWithinAnAnswer(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then does the server detect a closed connection
		_, _ = io.WriteString(w, strings.Repeat("x", 10))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	withService(t, h, func(t *testing.T, c *Services) {
		call := newOrder("key", "x", true)
		call.StallTimeout = time.Second
		answer, err := c.Do(t.Context(), address, call)
		assert.NilError(t, err)
		defer answer.Body.Close()
		got, err := io.ReadAll(answer.Body)
		var stall *StallError
		assert.Assert(t, errors.As(err, &stall))
		assert.Equal(t, verdict.Of(err), verdict.Ran)
		assert.Equal(t, len(got), 10)
	})
}

// More calls arrive than an endpoint may have connections. The surplus call must
// fail as not run once the dial timeout is over, and a slot that becomes free must
// be usable.
func TestConnectionsAreBounded(t *testing.T) {
	h := func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }
	withService(t, h, func(t *testing.T, c *Services) {
		var held []*Answer
		for range 2 {
			answer, err := c.Do(t.Context(), address, newOrder("key", "x", true))
			assert.NilError(t, err)
			held = append(held, answer)
		}
		_, err := c.Do(t.Context(), address, newOrder("key", "x", true))
		assert.ErrorIs(t, err, ErrTooManyConns)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		for _, answer := range held {
			readAndClose(t, answer.Body)
		}
		answer, err := c.Do(t.Context(), address, newOrder("key", "x", true))
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
	})
}
