package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The target's size.
const (
	targetDaemons = 340
	targetEngines = 690
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the bytes of live objects.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// memoryBytes returns the live heap and the stacks.
func memoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// wire counts what passes through connections, TLS included.
type wire struct{ in, out, conns atomic.Int64 }

func (w *wire) total() int64 { return w.in.Load() + w.out.Load() }

// dial opens a counted connection.
func (w *wire) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return w.conn(c), nil
}

func (w *wire) conn(c net.Conn) net.Conn {
	w.conns.Add(1)
	return &wireConn{Conn: c, wire: w}
}

type wireConn struct {
	net.Conn
	wire *wire
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Add(int64(n))
	return n, err
}

// canned answers every HTTP request with the same bytes, at next to no cost of
// its own, so that the processor time is the client's.
func canned(b *testing.B, answer []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c, answer)
		}
	}()
	return l.Addr().String()
}

func answerAll(c net.Conn, answer []byte) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 256)
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// recorded returns an answer's bytes as they come from address.
func recorded(b *testing.B, address, path string) []byte {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	var out []byte
	buf := make([]byte, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := c.Read(buf)
		out = append(out, buf[:n]...)
		if err != nil {
			return out
		}
	}
}
