package relay

import "time"

const (
	// retryStallTimeout is how long an endpoint may send nothing before an attempt
	// that could be made elsewhere is aborted: the steps of a batch are some ten
	// milliseconds apart, and a long prompt delays them by a few hundred.
	retryStallTimeout = 1500 * time.Millisecond
	// finalStallTimeout is the same if no other attempt could follow. It is long
	// enough that the endpoint is gone rather than busy, and lets the caller learn
	// before its deadline that its request may have run.
	finalStallTimeout = 4 * time.Second
	// predictedWaitFactor times the predicted wait is added: the prediction uses
	// loads that are some hundred milliseconds old.
	predictedWaitFactor = 2
)

// stallTimeout returns how long an endpoint may send nothing while an attempt waits
// for it. canRetry says that another attempt could follow.
func stallTimeout(canRetry bool, predicted time.Duration) time.Duration {
	base := finalStallTimeout
	if canRetry {
		base = retryStallTimeout
	}
	return base + predictedWaitFactor*predicted
}
