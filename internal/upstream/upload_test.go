package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
)

// withoutLength is an answer that ends with its connection.
const withoutLength = ownHead + "\r\npart"

// serveEarly starts a server that answers before it has read the request's body.
func serveEarly(t *testing.T, answer string, end earlyanswer.End) string {
	return earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) { return answer, end })
}

// uploadCall is a call whose body isn't written while the server doesn't read it.
func uploadCall(address string) *Call {
	c := newCall(address, "1")
	c.Body = make([]byte, earlyanswer.BodyBytes)
	return c
}

// Guards against the part of an answer before a reset that passes as a whole one while the request is written.
func TestResetDuringTheUploadIsNoEnd(t *testing.T) {
	address := serveEarly(t, withoutLength, earlyanswer.Reset)
	for range 10 {
		got, err := sendAndRead(t, NewPool(1, earlyanswer.DialWriterFirst), uploadCall(address))
		assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%q, error %v", got, err)
	}
}

// Guards against whole answers that count as broken since they come before the request was read.
func TestEarlyAnswersAreWhole(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    earlyanswer.End
		dial   Dialer
	}{
		"without a length, upload read": {withoutLength, earlyanswer.ReadOn, earlyanswer.Dial},
		"length, upload read":           {ownHead + "Content-Length: 4\r\n\r\npart", earlyanswer.ReadOn, earlyanswer.Dial},
		"length, reset":                 {ownHead + "Content-Length: 4\r\n\r\npart", earlyanswer.Reset, earlyanswer.Dial},
		"chunks, reset":                 {ownHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", earlyanswer.Reset, earlyanswer.Dial},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := sendAndRead(t, NewPool(1, c.dial), uploadCall(serveEarly(t, c.answer, c.end)))
			assert.NilError(t, err)
			assert.Equal(t, got, "part")
		})
	}
}

// Guards against a caller that has left and whose request is held until the endpoint reads its upload.
func TestUnreadUploadEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := NewPool(1, earlyanswer.Dial)
	a, err := p.Send(ctx, uploadCall(serveEarly(t, withoutLength, earlyanswer.Stop(t.Context()))))
	assert.NilError(t, err)
	defer a.Close()
	part := make([]byte, len("part"))
	_, err = io.ReadFull(a.Body, part)
	assert.NilError(t, err)
	cancel()
	_, err = a.Body.Read(part)
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
}

// stoppedEndpoint is a connection to an endpoint that has ended its answer. It reads a piece of the request each
// period, none if that is zero.
type stoppedEndpoint struct {
	net.Conn
	answer io.Reader
	period time.Duration
	closed chan struct{}
}

func (e *stoppedEndpoint) Read(p []byte) (int, error) { return e.answer.Read(p) }

func (e *stoppedEndpoint) Write(p []byte) (int, error) {
	var read <-chan time.Time
	switch {
	case len(p) < inlineBody:
		return len(p), nil
	case e.period > 0:
		read = time.After(e.period)
	}
	select {
	case <-read:
		return len(p), nil
	case <-e.closed:
		return 0, net.ErrClosed
	}
}

func (e *stoppedEndpoint) Close() error                   { close(e.closed); return nil }
func (*stoppedEndpoint) SetDeadline(time.Time) error      { return nil }
func (*stoppedEndpoint) SetReadDeadline(time.Time) error  { return nil }
func (*stoppedEndpoint) SetWriteDeadline(time.Time) error { return nil }

// Guards against a wait for an upload that isn't read any more, and one that ends while it is read slowly.
func TestUploadMayTakeAsLongAsItIsRead(t *testing.T) {
	const timeout = 2 * time.Second
	for _, period := range []time.Duration{0, timeout / 2} {
		synctest.Test(t, func(t *testing.T) {
			e := &stoppedEndpoint{answer: strings.NewReader(withoutLength), period: period, closed: make(chan struct{})}
			call := newCallWithTimeout("1", timeout)
			call.Body = make([]byte, 1<<20)
			began := time.Now()
			got, err := sendAndRead(t, NewPool(1, func(context.Context, string) (net.Conn, error) { return e, nil }), call)
			assert.Equal(t, got, "part")
			if period == 0 {
				assert.ErrorIs(t, err, ErrUploadNotRead)
				assert.Assert(t, time.Since(began) <= timeout+pauseCheckInterval)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) > timeout)
		})
	}
}
