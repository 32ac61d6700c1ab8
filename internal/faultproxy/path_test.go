package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a hanging path that delivers the end of a connection, which no partition does.
func TestHangingPathLosesTheEndOfAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	path := &Path{}
	c, err := path.Dial(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	assert.NilError(t, err)
	path.Set(PathHanging)
	_, err = io.WriteString(peer, "lost")
	assert.NilError(t, err)
	assert.NilError(t, peer.Close())

	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	n, err := c.Read(make([]byte, 8))
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)

	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 8))
		read <- err
	}()
	assert.NilError(t, c.Close())
	assert.Assert(t, !errors.Is(<-read, io.EOF))
}

// Guards against a path whose lost answers keep requests from arriving, or are delivered late.
func TestPathThatLosesAnswersDeliversRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	path := &Path{}
	open, err := path.Dial(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	path.Set(PathAnswersLost)
	later, err := path.Dial(t.Context(), l.Addr().String())
	assert.NilError(t, err)
	path.Set(PathOpen)
	for _, c := range []net.Conn{open, later} {
		peer, err := l.Accept()
		assert.NilError(t, err)
		_, err = io.WriteString(c, "request")
		assert.NilError(t, err)
		got := make([]byte, 7)
		_, err = io.ReadFull(peer, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "request")
		_, err = io.WriteString(peer, "answer")
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, err := c.Read(make([]byte, 8))
		assert.Equal(t, n, 0)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.NilError(t, peer.Close())
		assert.NilError(t, c.Close())
	}
}
