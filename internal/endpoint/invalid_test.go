package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// invalidHeads are answers that no endpoint sends, with the length of a body and the body to be filled in.
var invalidHeads = map[string]string{
	"status 000": "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
	"status 042": "HTTP/1.1 042 OK\r\nContent-Length: %d\r\n\r\n%s",
	"status 101": "HTTP/1.1 101 OK\r\nContent-Length: %d\r\n\r\n%s",
	"status 600": "HTTP/1.1 600 OK\r\nContent-Length: %d\r\n\r\n%s",

	"name with a space":            "HTTP/1.1 200 OK\r\nNo ise: x\r\nContent-Length: %d\r\n\r\n%s",
	"name with a space at its end": "HTTP/1.1 200 OK\r\nNoise : x\r\nContent-Length: %d\r\n\r\n%s",
	"length with a space":          "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s",
	"coding with a space":          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"space in an earlier head":     "HTTP/1.1 103 X\r\nNo ise: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
}

// serveText starts a server that answers with a text.
func serveText(t *testing.T, text string) string {
	return earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) { return text, earlyanswer.ReadOn })
}

// Guards against answers with invalid heads that reach the callers of services.
func TestServicesRefuseInvalidHeads(t *testing.T) {
	for name, head := range invalidHeads {
		for _, once := range []bool{true, false} {
			c := NewServices(Options{})
			defer c.Close()
			a, err := c.Do(t.Context(), serveText(t, fmt.Sprintf(head, 3, "one")), newOrder("k", "x", once))
			assert.Check(t, errors.Is(err, ErrMalformed), "%s: answer %+v, error %v", name, a, err)
			assert.Check(t, verdict.Of(err) == verdict.MayHaveRun, name)
		}
	}
}

// Guards against answers with invalid heads that count as an engine's.
func TestEnginesRefuseInvalidHeads(t *testing.T) {
	const page = `{"next":7,"epoch":"x"}`
	for name, head := range invalidHeads {
		c := NewEngines(Options{})
		defer c.Close()
		address := serveText(t, fmt.Sprintf(head, len(page), page))
		got, err := c.CacheEvents(t.Context(), address, 0)
		assert.Check(t, errors.Is(err, ErrMalformed), "%s: page %+v, error %v", name, got, err)
		err = c.Cancel(t.Context(), address, "s")
		assert.Check(t, errors.Is(err, ErrMalformed), "%s: cancelled, error %v", name, err)
		body := pieces(0, 3) + lastPiece
		_, err = c.Start(t.Context(), serveText(t, fmt.Sprintf(head, len(body), body)), completionRequest(4), longTimeouts)
		assert.Check(t, errors.Is(err, ErrMalformed), "%s: %v", name, err)
		assert.Check(t, verdict.Of(err) == verdict.MayHaveRun, name)
	}
}
