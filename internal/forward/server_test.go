package forward_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/forward"
	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/testport"
)

// Guards against connections that a server accepts after it was closed, and resets.
func TestServerClosedAtOnceListensNoMore(t *testing.T) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	for range 200 {
		address := testport.Reserve(t)
		s, err := forward.Open(nil, address, relay.NewBodies(memlimit.New(maxBytes)), newGuard(), 100, quiet.WithField("part", "forward"))
		assert.NilError(t, err)
		assert.NilError(t, s.Close(t.Context()))
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	}
}
