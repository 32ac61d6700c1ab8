package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// namingProtocol is one whose answers name their requests.
type namingProtocol struct{ protocol }

func (namingProtocol) Owns(r *relay.Request) func(http.Header) upstream.Ownership {
	return func(h http.Header) upstream.Ownership { return upstream.OwnerOf(h["Id"], r.ID) }
}

// Guards against an answer that names two requests and reaches a caller through a daemon of an earlier
// release, which looks at the first name alone.
func TestAnswerOfTwoRequestsIsInvalidOverTheHop(t *testing.T) {
	for _, path := range []string{"/order/1", "/lookup/1", "/stream/1"} {
		e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cyclamenbeam-Forward-Id", "r1")
			w.Header()["Id"] = []string{"r1", "other"}
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		})
		d := newHopDaemon(t, "", e.address())
		none := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no path") }
		d.relay = relay.New(d.state, upstream.NewPool(8, none), namingProtocol{}, d, d)
		d.relay.SetForwarder(&forwarder{pool: upstream.NewPool(8, upstream.DialTCP), addresses: []string{e.address()}})
		out := d.send(t.Context(), path, "")
		assert.Check(t, !out.ended, "%s: status %d", path, out.status)
	}
}

// Guards against statements that are taken from an invalid head which a daemon of an earlier release passes on.
func TestInvalidHeadStatesNothingOverTheHop(t *testing.T) {
	for _, encoding := range []string{"", "x"} {
		e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cyclamenbeam-Forward-Id", "r1")
			w.Header().Set("Cyclamenbeam-Forward-Endpoint", "e1 0")
			w.Header().Set("Encoding", encoding)
			w.Header().Set("Leaves", "1")
			_, _ = io.WriteString(w, "answer")
		})
		d := newHopDaemon(t, "", e.address())
		out := d.send(t.Context(), "/order/1", "")
		assert.Equal(t, out.ended, encoding == "", "encoding %q", encoding)
		assert.Equal(t, len(d.state.Leaving()) > 0, encoding == "", "encoding %q", encoding)
	}
}
