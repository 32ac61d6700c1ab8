package outside

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"gotest.tools/v3/assert"
)

// Guards against HTTP/2, on which all calls share one connection that may become silent.
func TestTLSKeepsToHTTP1(t *testing.T) {
	store := objectstore.New(objectstore.Options{}).Handler()
	protocols := make(chan int, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		protocols <- r.ProtoMajor
		store.ServeHTTP(w, r)
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	clients, err := New(Options{Objects: server.URL, TLS: &tls.Config{RootCAs: roots}, Budget: plenty})
	assert.NilError(t, err)
	defer clients.Close()
	_, err = clients.Objects.As(budget.Lease).Create(t.Context(), "lease", "a", json.RawMessage(`1`))
	assert.NilError(t, err)
	assert.Equal(t, <-protocols, 1)
}

func TestAddressesAreChecked(t *testing.T) {
	for _, address := range []string{"store:80", "ftp://store", "http://store/path", "http://"} {
		_, err := New(Options{Objects: address})
		assert.Assert(t, err != nil, "%s", address)
	}
}
