package endpoint

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// net/http sends a GET again on a second connection after the first died with
// the request read. The second connection takes nothing. That nothing was
// written on the last connection proves nothing about the first.
func TestVerdictCoversEveryConnection(t *testing.T) {
	ours, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	first := newConn(ours, func() {})
	defer first.Close()
	second := newConn(failingConn{ours}, func() {})
	att := new(attempt)
	att.gotConn(first)
	_, err := first.Write([]byte("GET"))
	assert.NilError(t, err)
	att.gotConn(second)
	assert.Equal(t, att.verdict(), verdict.MayHaveRun)
}
