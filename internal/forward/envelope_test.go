package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// Guards against requests that another daemon refuses because their body took long to arrive.
func TestTimeOfSendingCrossesTheHop(t *testing.T) {
	for _, elapsed := range []time.Duration{0, 40 * time.Millisecond, 2 * time.Second} {
		sent := &relay.ForwardedRequest{Request: &relay.Request{}, Service: "s", TimeLeft: time.Second, Elapsed: 2 * time.Second, Waited: elapsed}
		got, err := decode(&http.Request{Header: http.Header{envelopeHeader: {encode(sent)}}}, nil)
		assert.NilError(t, err)
		assert.Equal(t, got.Waited, elapsed)
		assert.Equal(t, got.Elapsed, 2*time.Second)
	}
}
