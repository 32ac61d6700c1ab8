// Package endless is a faulty server for tests: its answers have no end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// blockBytes is about how much is written at once.
const blockBytes = 16 << 10

// Write writes start, and then piece until an error, and adds the bytes written to a count.
func Write(w io.Writer, start, piece string, written *atomic.Int64) {
	_, err := io.WriteString(w, start)
	for block := strings.Repeat(piece, 1+blockBytes/len(piece)); err == nil; {
		var n int
		n, err = io.WriteString(w, block)
		written.Add(int64(n))
	}
}

// Serve starts a server that answers the first request on each connection with start, and then
// with piece until the connection is closed. It returns its address and the bytes written.
func Serve(t testing.TB, start, piece string) (address string, written *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	written = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					Write(c, start, piece, written)
				}
			}()
		}
	}()
	return l.Addr().String(), written
}
