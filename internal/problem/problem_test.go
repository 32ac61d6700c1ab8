package problem

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against a status that says "not run" of a request that may have been run.
func TestStatusFollowsTheVerdict(t *testing.T) {
	for status := 400; status < 600; status++ {
		for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
			want := status
			switch status {
			case 408, 421, 429, 503:
				if v != verdict.NotRun {
					want = http.StatusBadGateway
				}
			}
			got := New(status, v, "detail")
			assert.Equal(t, got.Status, want, "%s", v)
			assert.Equal(t, got.Title, http.StatusText(want))
		}
	}
}
