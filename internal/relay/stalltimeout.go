package relay

import "time"

const (
	// retryStallTimeout is how long an endpoint may say nothing before an attempt
	// that could be made elsewhere is given up: a batch's steps are some ten
	// milliseconds apart, a long prompt stops it for a few hundred.
	retryStallTimeout = 1500 * time.Millisecond
	// finalStallTimeout is the same where nothing else could be tried. It is long
	// enough that the endpoint is gone rather than busy; the caller learns then
	// that its request may have run, and not only at its deadline.
	finalStallTimeout = 4 * time.Second
	// predictedWaitFactor times the predicted wait is added: the prediction is
	// made from loads that are some hundred milliseconds old.
	predictedWaitFactor = 2
)

// stallTimeout returns how long an endpoint may be silent while an attempt waits
// for it. another says that one more attempt could follow.
func stallTimeout(canRetry bool, predicted time.Duration) time.Duration {
	base := finalStallTimeout
	if canRetry {
		base = retryStallTimeout
	}
	return base + predictedWaitFactor*predicted
}
