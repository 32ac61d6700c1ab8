package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a report of zero load from an answer that holds none.
func TestLoadWithoutReportIsAnError(t *testing.T) {
	for _, body := range []string{"null", "{}", `{"x7":1}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		c := NewEngines(Options{})
		defer c.Close()
		load, err := c.Load(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		assert.Check(t, err != nil, "%q: %+v", body, load)
	}
}
