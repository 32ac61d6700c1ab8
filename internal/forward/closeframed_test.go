package forward_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// endsWithConnection starts an engine that answers one request with neither a length nor chunks.
// With crashes it is gone then.
func endsWithConnection(t *testing.T, body string, crashes bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4000))
		if crashes {
			_ = l.Close()
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
		_ = c.Close()
	}()
	return l.Addr().String()
}

// The second daemon's framing must not turn an answer that a crash has cut off into a whole one.
func TestAnswerCutOffWithItsConnectionIsBrokenOverTheHop(t *testing.T) {
	for path, body := range map[string]string{"/order/1": "part", "/stream/1": "id: 1\ndata: a\n\n"} {
		for _, crashes := range []bool{false, true} {
			b := newHopDaemon(t, endsWithConnection(t, body, crashes))
			out := newHopDaemon(t, "", b.address).send(t.Context(), path, "")
			assert.Equal(t, out.ended, !crashes, "%s, crashes: %v", path, crashes)
			switch {
			case !crashes:
				assert.Equal(t, out.text(), body)
			case out.refusal != nil:
				assert.DeepEqual(t, *out.refusal, relay.Refusal{Reason: relay.Broken, Verdict: verdict.MayHaveRun})
			default:
				assert.Assert(t, out.aborted)
			}
		}
	}
}
