package endpoint

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// net/http sends a GET again on a second connection after the first failed with the
// request written. The second connection accepts nothing. That nothing was written
// to the last connection must not count as proof for the first.
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
