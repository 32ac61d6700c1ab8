package endpoint

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Over TLS, net/http reports the TLS connection and not the connection that counts
// writes. An order whose answer is lost must still get "may have run", and one
// whose handshake failed "not run".
func TestVerdictOverTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.ProtoMajor, 1)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // the failed handshake is expected
	server.StartTLS()
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	for _, once := range []bool{true, false} {
		c := NewServices(Options{TLS: trusted})
		_, err := c.Do(t.Context(), server.Listener.Addr().String(), newOrder("key", "x", once))
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "%v", err)
		c.Close()
	}
	untrusted := trusted.Clone()
	untrusted.RootCAs = nil
	c := NewServices(Options{TLS: untrusted})
	defer c.Close()
	_, err := c.Do(t.Context(), server.Listener.Addr().String(), newOrder("key", "x", true))
	assert.Equal(t, verdict.Of(err), verdict.NotRun, "%v", err)
}
