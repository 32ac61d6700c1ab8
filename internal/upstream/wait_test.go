package upstream

import (
	"bufio"
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

	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// delayedText is text that an endpoint writes some time after the request or the
// previous text.
type delayedText struct {
	after time.Duration
	text  string
}

// dialScripted returns a Dialer of endpoints that write the texts listed under a
// request's Id. A request without texts gets no answer, and its connection stays
// open until ctx ends.
func dialScripted(ctx context.Context, texts map[string][]delayedText) Dialer {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() {
			defer server.Close()
			r := bufio.NewReader(server)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				for _, l := range texts[req.Header.Get("Id")] {
					if !pause.For(ctx, l.after) {
						return
					}
					if _, err := io.WriteString(server, l.text); err != nil {
						return
					}
				}
				if len(texts[req.Header.Get("Id")]) == 0 {
					<-ctx.Done()
					return
				}
			}
		}()
		return client, nil
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return string("0123456789abcdef"[len(text)]) + "\r\n" + text + "\r\n" }

func newCallWithTimeout(id string, timeout time.Duration) *Call {
	c := newCall("endpoint", id)
	c.SilenceTimeout = timeout
	return c
}

// An engine hangs before it answers: its connection stays open and carries no
// bytes. The call must end after its silence timeout rather than at its deadline,
// with the verdict that it may have run.
func TestSilenceBeforeHeadEndsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(4, dialScripted(t.Context(), nil))
		began := time.Now()
		_, err := p.Send(t.Context(), newCallWithTimeout("1", time.Second))
		assert.Assert(t, errors.Is(err, ErrSilent))
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// An engine hangs in the middle of a stream. The bytes received so far must be
// returned, and the call must end one silence timeout after the last of them.
func TestSilenceInBodyEndsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(4, dialScripted(t.Context(), map[string][]delayedText{
			"1": {{0, streamHead}, {800 * time.Millisecond, chunk("a")}, {800 * time.Millisecond, chunk("b")}, {time.Hour, ""}},
		}))
		began := time.Now()
		a, err := p.Send(t.Context(), newCallWithTimeout("1", time.Second))
		assert.NilError(t, err)
		defer a.Close()
		got, err := io.ReadAll(a.Body)
		assert.Assert(t, errors.Is(err, ErrSilent))
		assert.Equal(t, string(got), "ab")
		assert.Equal(t, time.Since(began), 2600*time.Millisecond)
	})
}

// Guards against a request that is sent again elsewhere, and queues again, while
// it waits in an engine's queue: the engine streams to other callers meanwhile.
func TestEndpointStreamingToOthersIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stream []delayedText
		stream = append(stream, delayedText{0, streamHead})
		for range 50 {
			stream = append(stream, delayedText{100 * time.Millisecond, chunk("x")})
		}
		p := NewPool(4, dialScripted(t.Context(), map[string][]delayedText{
			"talks": append(stream, delayedText{0, "0\r\n\r\n"}),
			"waits": {{4 * time.Second, answerText("waits", "late")}},
		}))
		other, err := p.Send(t.Context(), newCallWithTimeout("talks", time.Second))
		assert.NilError(t, err)
		go func() {
			defer other.Close()
			_, _ = io.Copy(io.Discard, other.Body)
		}()
		got, err := sendAndRead(t, p, newCallWithTimeout("waits", time.Second))
		assert.NilError(t, err)
		assert.Equal(t, got, "late")
		synctest.Wait()
	})
}

// Guards against a call that waits for an answer that will never come: an engine
// crashes with the call's connection open, restarts at the same address and
// streams to other callers on new connections.
func TestNewConnectionsDoNotExtendOlderCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := []delayedText{{0, streamHead}}
		for range 50 {
			stream = append(stream, delayedText{100 * time.Millisecond, chunk("x")})
		}
		p := NewPool(4, dialScripted(t.Context(), map[string][]delayedText{
			"talks": append(stream, delayedText{0, "0\r\n\r\n"}),
		}))
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, func() {
			other, err := p.Send(t.Context(), newCallWithTimeout("talks", time.Second))
			assert.Check(t, err == nil)
			defer other.Close()
			_, _ = io.Copy(io.Discard, other.Body)
		})
		_, err := p.Send(t.Context(), newCallWithTimeout("hangs", time.Second))
		assert.Assert(t, errors.Is(err, ErrSilent))
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(time.Minute)
	})
}

// A reused connection serves a second call without a silence timeout. That of the
// first call must not end it.
func TestSilenceTimeoutEndsWithItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(4, dialScripted(t.Context(), map[string][]delayedText{
			"1": {{0, answerText("1", "a")}},
			"2": {{3 * time.Second, answerText("2", "b")}},
		}))
		_, err := sendAndRead(t, p, newCallWithTimeout("1", time.Second))
		assert.NilError(t, err)
		got, err := sendAndRead(t, p, newCallWithTimeout("2", 0))
		assert.NilError(t, err)
		assert.Equal(t, got, "b")
		assert.Equal(t, p.Stats().Dialled, uint64(1))
	})
}

// A caller disconnects before the silence timeout of its call.
func TestContextEndsWaitBeforeSilenceTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(4, dialScripted(t.Context(), nil))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := p.Send(ctx, newCallWithTimeout("1", time.Second))
		assert.Assert(t, err != nil && !strings.Contains(err.Error(), "silent"))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
	})
}

// pausedConn is a connection of a process that is paused during a read: read
// deadlines expire when it resumes, and bytes that arrived during the pause can be
// read after that.
type pausedConn struct {
	net.Conn
	until time.Time // end of the pause
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if d := time.Until(c.until); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(p)
}

// Guards against a daemon that was paused and counts the pause as the endpoint's
// silence.
func TestProcessPauseIsNotCountedAsSilence(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // delay of the answer
		ok    bool
	}{
		{"answer during the pause", 100 * time.Millisecond, true},
		{"answer after the pause", 6300 * time.Millisecond, true},
		{"no answer", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dial := dialScripted(ctx, map[string][]delayedText{"1": {{c.after, answerText("1", "done")}}})
				p := NewPool(4, func(ctx context.Context, address string) (net.Conn, error) {
					nc, err := dial(ctx, address)
					return &pausedConn{Conn: nc, until: time.Now().Add(6 * time.Second)}, err
				})
				began := time.Now()
				got, err := sendAndRead(t, p, newCallWithTimeout("1", time.Second))
				if c.ok {
					assert.NilError(t, err)
					assert.Equal(t, got, "done")
					return
				}
				assert.Assert(t, errors.Is(err, ErrSilent))
				assert.Assert(t, time.Since(began) <= 7*time.Second)
			})
		})
	}
}
