package upstream

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endless"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against a daemon that runs out of memory by one endpoint's bytes without end.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	const windows = 16 << 20 // that the kernel's buffers may hold
	for name, c := range map[string]struct{ start, piece string }{
		"a header":               {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"headers":                {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"a status line":          {"HTTP/1.1 200 ", "OK "},
		"a line that isn't one":  {"", "garbage"},
		"informational answers":  {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"answers to others":      {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"an answer to another's": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "body"},
	} {
		address, written := endless.Serve(t, c.start, c.piece)
		p := NewPool(1, DialTCP)
		began := time.Now()
		_, err := p.Send(t.Context(), newCall(address, "1"))
		assert.Assert(t, err != nil, name)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, name)
		assert.Assert(t, time.Since(began) < 5*time.Second, name)
		assert.Assert(t, written.Load() < windows, "%s: %d bytes", name, written.Load())
	}
}

// A head of many headers, after an informational answer and a late answer, is within the bound.
func TestLongHeadIsRead(t *testing.T) {
	address := serveScript(t, func(int, *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold" +
			strings.Replace(answerText("1", "one"), "Id:", "Long: "+strings.Repeat("x", 16<<10)+"\r\nId:", 1)
	})
	body, err := sendAndRead(t, NewPool(1, DialTCP), newCall(address, "1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
}
