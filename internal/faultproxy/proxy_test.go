package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialEcho starts an echo server behind a proxy, and returns the proxy and a
// connection through it that has already carried bytes.
func dialEcho(t *testing.T) (*Proxy, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := New(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, p)
	assertEcho(t, c, "hello")
	return p, c
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// assertEcho sends a text and expects the same text back.
func assertEcho(t *testing.T, c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	assert.NilError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

// A proxy that also dropped the bytes of new connections, or that closed a
// connection instead of dropping its bytes, would simulate another fault.
func TestBlackHoleAffectsOnlyOpenConnections(t *testing.T) {
	p, c := dialEcho(t)
	assert.Equal(t, p.BlackHole(), 1)
	_, err := c.Write([]byte("lost"))
	assert.NilError(t, err)
	assertEcho(t, dial(t, p), "new") // an echo of "lost" would have come before it
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// ResetAfter applies to connections opened after it, and Cut to those open at the
// call. Otherwise tests would lose connections that they expect to keep.
func TestCutAndResetAfterAffectOnlyTheirConnections(t *testing.T) {
	p, c := dialEcho(t)
	p.ResetAfter(4)
	limited := dial(t, p)
	_, err := limited.Write([]byte("abcdefgh"))
	assert.NilError(t, err)
	got, _ := io.ReadAll(limited)
	assert.Assert(t, len(got) <= 4, "%q", got) // a reset may discard bytes that weren't read yet
	assertEcho(t, c, "opened before the switch")
	p.Cut()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assertEcho(t, dial(t, p), "new")
}

// Delay must apply to both directions, and the close of one side must reach the
// other, or the last read would block for ever.
func TestDelayAppliesBothWaysAndCloseIsForwarded(t *testing.T) {
	p, c := dialEcho(t)
	p.Delay(20 * time.Millisecond)
	start := time.Now()
	assertEcho(t, c, "slow")
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond, "both ways are delayed")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	_, err := io.ReadAll(c)
	assert.NilError(t, err)
}
