package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against an order that counts as not run by an answer that names no request.
func TestAnswerWithoutAnIDProvesLittle(t *testing.T) {
	for status := 200; status < 600; status++ {
		want := verdict.MayHaveRun
		switch status {
		case 400, 417, 431, 501, 505: // net/http's for requests that it can't read
			want = verdict.NotRun
		}
		got := Codec{}.Refusal(status, http.Header{})
		assert.Equal(t, got.Verdict, want, "status %d", status)
	}
}
