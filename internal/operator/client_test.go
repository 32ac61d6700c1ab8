package operator

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// invalidHeads are the beginnings of heads that no daemon sends.
var invalidHeads = []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 042 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nNo ise: x\r\n", "HTTP/1.1 200 OK\r\nNoise : x\r\n"}

// Guards against a change that counts as applied by an answer that isn't a daemon's.
func TestInvalidHeadsLeaveChangesUnknown(t *testing.T) {
	const result = `{"outcome":"applied"}`
	for _, head := range invalidHeads {
		address := earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(result), result), earlyanswer.ReadOn
		})
		got, err := NewClient("http://"+address, "token", nil).Apply(t.Context(), "a", Apply{})
		assert.NilError(t, err)
		assert.Equal(t, got.Outcome, template.Unknown, "%q", head)
	}
}
