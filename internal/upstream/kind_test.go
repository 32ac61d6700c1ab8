package upstream

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endless"
)

// Guards against invalid bytes that are neither logged nor counted, since the error names no kind.
func TestInvalidBytesHaveAKind(t *testing.T) {
	skipped := "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\nnoise\r\n"
	address := serveScript(t, func(int, *http.Request) string { return skipped })
	_, err := NewPool(1, DialTCP).Send(t.Context(), newCall(address, "1"))
	var invalid *InvalidError
	assert.Check(t, errors.As(err, &invalid), "chunks of a skipped answer: %v", err)

	address, _ = endless.Serve(t, "HTTP/1.1 200 OK\r\n", "A: b\r\n")
	_, err = NewPool(1, DialTCP).Send(t.Context(), newCall(address, "1"))
	assert.Check(t, errors.As(err, &invalid), "head without an end: %v", err)
}
