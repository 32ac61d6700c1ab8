package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// serveScript starts a server that answers each request with the text that f
// returns, and returns its address. n counts the requests on a connection from 0;
// an empty text closes the connection.
func serveScript(t *testing.T, f func(n int, r *http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					answer := f(n, req)
					if answer == "" {
						return
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newCall(address, id string) *Call {
	return &Call{
		Address: address, Method: "POST", Target: "/a%2Fb?q=1", Host: "h.example",
		Header: func() http.Header { return http.Header{"Id": {id}} }, Body: []byte("body"),
		Owns: func(h http.Header) Ownership {
			return OwnerOf(h["Id"], id)
		},
	}
}

func answerText(id, text string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(text))) + "\r\n\r\n" + text
}

func sendAndRead(t *testing.T, p *Pool, c *Call) (string, error) {
	t.Helper()
	a, err := p.Send(t.Context(), c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	var got string
	address := serveScript(t, func(_ int, r *http.Request) string {
		got = r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("User-Agent")
		return answerText("1", "one")
	})
	body, err := sendAndRead(t, NewPool(1, DialTCP), newCall(address, "1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	assert.Equal(t, got, "POST /a%2Fb?q=1 h.example ")
}

// Guards against a caller that gets another caller's answer: an endpoint answers
// a request twice, and the second answer arrives after the next request was sent
// on the same connection.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	address := serveScript(t, func(n int, r *http.Request) string {
		if n == 0 {
			return answerText("1", "one")
		}
		return answerText("1", "one") + answerText("2", "two")
	})
	p := NewPool(1, DialTCP)
	_, err := sendAndRead(t, p, newCall(address, "1"))
	assert.NilError(t, err)
	body, err := sendAndRead(t, p, newCall(address, "2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, p.Stats().Skipped, uint64(1))
	assert.Equal(t, p.Stats().Dialled, uint64(1))
}

// The extra answer arrives before the connection is reused.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	address := serveScript(t, func(n int, r *http.Request) string {
		id := r.Header.Get("Id")
		return answerText(id, "one") + answerText(id, "one")
	})
	p := NewPool(1, DialTCP)
	for _, id := range []string{"1", "2"} {
		body, err := sendAndRead(t, p, newCall(address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "one")
	}
	assert.Equal(t, p.Stats().Dialled, uint64(2))
}

// Guards against a request that runs twice: the endpoint closes a reused
// connection instead of answering, and the request is sent again. The error must
// have the verdict that the request may have run.
func TestRequestIsNotRepeatedAfterConnectionCloses(t *testing.T) {
	seen := make(chan string, 4)
	address := serveScript(t, func(n int, r *http.Request) string {
		seen <- r.Header.Get("Id")
		if n == 0 {
			return answerText("1", "one")
		}
		return ""
	})
	p := NewPool(1, DialTCP)
	_, err := sendAndRead(t, p, newCall(address, "1"))
	assert.NilError(t, err)
	_, err = sendAndRead(t, p, newCall(address, "2"))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, len(seen), 2)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	address := serveScript(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nhalf"
	})
	a, err := NewPool(1, DialTCP).Send(t.Context(), newCall(address, "1"))
	assert.NilError(t, err)
	defer a.Close()
	a.conn.nc.(*net.TCPConn).CloseWrite()
	_, err = io.ReadAll(a.Body)
	assert.ErrorContains(t, err, "unexpected EOF")
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	p := NewPool(1, DialTCP)
	_, err = sendAndRead(t, p, newCall(address, "1"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, err = sendAndRead(t, p, newCall(address, "1")) // the failed connection isn't counted
	assert.Assert(t, !strings.Contains(err.Error(), ErrPoolExhausted.Error()))
}

func TestConnectionLimitPerEndpoint(t *testing.T) {
	address := serveScript(t, func(int, *http.Request) string { return answerText("1", "one") })
	p := NewPool(1, DialTCP)
	a, err := p.Send(t.Context(), newCall(address, "1"))
	assert.NilError(t, err)
	_, err = p.Send(t.Context(), newCall(address, "1"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	_, err = io.ReadAll(a.Body)
	assert.NilError(t, err)
	a.Close()
	_, err = sendAndRead(t, p, newCall(address, "1"))
	assert.NilError(t, err)
}

// Guards against an endpoint that goes on working, and a connection that stays
// counted, after the caller has disconnected.
func TestCancelledContextClosesConnection(t *testing.T) {
	hold := make(chan struct{})
	address := serveScript(t, func(int, *http.Request) string { <-hold; return "" })
	defer close(hold)
	p := NewPool(1, DialTCP)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(0, cancel)
	_, err := p.Send(ctx, newCall(address, "1"))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(p.hosts), 0)
}

// An endpoint answers before it reads a large body. The rest of the body must
// still be sent in full, so that the connection can be reused.
func TestAnswerBeforeLargeBodyIsSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	rest := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answerText("1", "one"))
		n, _ := io.Copy(io.Discard, req.Body)
		rest <- n
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, answerText("2", "two"))
		}
	}()
	p := NewPool(1, DialTCP)
	first := newCall(l.Addr().String(), "1")
	first.Body = make([]byte, 8<<20)
	body, err := sendAndRead(t, p, first)
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	assert.Equal(t, <-rest, int64(8<<20))
	body, err = sendAndRead(t, p, newCall(l.Addr().String(), "2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

// Guards against an endpoint that works for a caller whose deadline has passed:
// the header states the time left, and connecting takes part of that time.
func TestHeaderIsBuiltAfterConnecting(t *testing.T) {
	address := serveScript(t, func(_ int, r *http.Request) string { return answerText("1", r.Header.Get("Left")) })
	p := NewPool(1, DialTCP)
	left := "9"
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		left = "4"
		return dial(ctx, address)
	}
	c := newCall(address, "1")
	c.Header = func() http.Header { return http.Header{"Id": {"1"}, "Left": {left}} }
	body, err := sendAndRead(t, p, c)
	assert.NilError(t, err)
	assert.Equal(t, body, "4")
}

// Guards against a late copy of a request's first answer that is taken for the answer to its second try.
func TestRequestThatComesAgainUsesAnotherConnection(t *testing.T) {
	address := serveScript(t, func(n int, _ *http.Request) string {
		if n == 0 {
			return answerText("a", "first")
		}
		return answerText("a", "first") + answerText("a", "again")
	})
	p := NewPool(2, DialTCP)
	for range 3 {
		c := newCall(address, "a")
		c.ID = "a"
		text, err := sendAndRead(t, p, c)
		assert.NilError(t, err)
		assert.Equal(t, text, "first")
	}
	assert.Equal(t, p.Stats().Dialled, uint64(3))
	assert.Equal(t, p.Stats().Reused, uint64(2)) // taken, and closed
}
