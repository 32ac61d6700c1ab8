package caller

import (
	"net/http"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// shouldRetry reports whether a request that was not accepted is retried. The
// idempotency key makes that safe where it may have run. If it ran, its answer is
// final.
func shouldRetry(s step) bool {
	if s.kind == broken {
		return true
	}
	return s.failure.verdict != verdict.Ran && transient(s.failure.status)
}

// transient reports whether a status is transient: the same request may succeed
// later.
func transient(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout ||
		status == http.StatusConflict
}

// retryElsewhere reports whether the status of a failed resume is about the entry
// and not about the request: the entry does not have the request, or accepts no
// requests now. The resume may then succeed at another entry.
func retryElsewhere(status int) bool {
	return status == http.StatusNotFound ||
		status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}

// endBeforeAcceptance returns the end of a request that was never accepted:
// Refused if the last attempt was answered, else Unreached.
func endBeforeAcceptance(s step) End {
	if s.kind == failed {
		return Refused
	}
	return Unreached
}
