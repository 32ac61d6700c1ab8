package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// closingService runs every request. It answers the first request of a connection;
// the second one it runs and then closes the connection without an answer. It never
// answers orders with the body "lost".
type closingService struct {
	net.Listener
	mu   sync.Mutex
	runs map[string]int // by idempotency key
}

func newClosingService(t *testing.T) *closingService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &closingService{Listener: l, runs: make(map[string]int)}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		conns.Wait()
	})
	return s
}

func (s *closingService) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for reused := false; ; reused = true {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.runs[r.Header.Get(serviceapi.KeyHeader)]++
		s.mu.Unlock()
		if reused || string(body) == "lost" {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingService) runsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *closingService) address() string { return s.Addr().String() }

func newOrder(key, body string, once bool) ServiceRequest {
	return ServiceRequest{
		Method: http.MethodPost,
		Target: serviceapi.OrdersPath,
		Header: http.Header{serviceapi.KeyHeader: {key}},
		Body:   []byte(body),
		Once:   once,
	}
}

func readAndClose(t *testing.T, body io.ReadCloser) {
	_, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
	assert.NilError(t, body.Close())
}

// A keep-alive connection fails after the service has read an order and before it
// answers. net/http takes the Idempotency-Key header as permission to send the
// order again on a new connection, so the caller sees one confirmed order and the
// dealer gets two. This is the standard library's own behaviour; without it the
// next test would prove nothing.
func TestNetHTTPSendsAnOrderTwice(t *testing.T) {
	s := newClosingService(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, key := range []string{"first", "twice"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.address()+serviceapi.OrdersPath, strings.NewReader("x"))
		assert.NilError(t, err)
		req.Header.Set(serviceapi.KeyHeader, key)
		resp, err := client.Do(req)
		assert.NilError(t, err)
		readAndClose(t, resp.Body)
	}
	assert.Equal(t, s.runsOf("twice"), 2)
}

// The same service and the same sequence of orders with the client of this package:
// an order that must run once is sent once, on a connection of its own, with its
// key. If its answer is lost the verdict is that it may have run.
func TestOrderIsSentOnce(t *testing.T) {
	s := newClosingService(t)
	c := NewServices(Options{})
	defer c.Close()
	for _, key := range []string{"first", "second"} {
		answer, err := c.Do(t.Context(), s.address(), newOrder(key, "x", true))
		assert.NilError(t, err)
		assert.Equal(t, answer.Verdict(), verdict.Ran)
		readAndClose(t, answer.Body)
		assert.Equal(t, s.runsOf(key), 1)
	}
	_, err := c.Do(t.Context(), s.address(), newOrder("lost", "lost", true))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, s.runsOf("lost"), 1)
}

// A call that may be repeated uses pooled connections. When one fails after the
// service has read the call, the client must still not send the call again: that is
// up to the caller and its retry budget.
func TestCallOnAPooledConnectionIsNotSentAgain(t *testing.T) {
	s := newClosingService(t)
	c := NewServices(Options{})
	defer c.Close()
	answer, err := c.Do(t.Context(), s.address(), newOrder("first", "x", false))
	assert.NilError(t, err)
	readAndClose(t, answer.Body)
	_, err = c.Do(t.Context(), s.address(), newOrder("second", "x", false))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, s.runsOf("second"), 1)
}
