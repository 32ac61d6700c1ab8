package caller

import (
	"net/http"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// again reports whether a request that was not accepted is sent once more. The
// key makes that safe where it may have run; where it ran, its answer is final.
func again(s step) bool {
	if s.kind == broken {
		return true
	}
	return s.failure.verdict != verdict.Ran && passing(s.failure.status)
}

// passing reports whether the same request may fare better later.
func passing(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout ||
		status == http.StatusConflict
}

// elsewhere reports whether a failed resume says something about the entry
// that was asked and not about the request: it does not know the request, or
// takes nothing now.
func elsewhere(status int) bool {
	return status == http.StatusNotFound ||
		status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}

// refusedOr is the end of a request that was never accepted.
func refusedOr(s step) End {
	if s.kind == failed {
		return Refused
	}
	return Unreached
}
