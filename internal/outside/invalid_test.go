package outside

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// invalidHeads are the beginnings of heads that no API sends.
var invalidHeads = []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 042 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nNo ise: x\r\n", "HTTP/1.1 200 OK\r\nNoise : x\r\n"}

// Guards against a write that counts as refused, or as done, by an answer that isn't the API's.
func TestInvalidHeadsLeaveWritesOpen(t *testing.T) {
	const object = `{"version":7}`
	for _, head := range invalidHeads {
		address := earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(object), object), earlyanswer.ReadOn
		})
		clients, err := New(Options{Objects: "http://" + address, Budget: plenty})
		assert.NilError(t, err)
		_, err = clients.Objects.As(budget.Lease).Create(t.Context(), "lease", "a", json.RawMessage(`1`))
		var open *Ambiguous
		assert.Check(t, errors.As(err, &open), "%q: %v", head, err)
		assert.Check(t, verdict.Of(err) == verdict.MayHaveRun, "%q", head)
	}
}
