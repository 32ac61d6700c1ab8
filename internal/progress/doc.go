// Package progress measures the progress of transfers, and ends a transfer that
// makes none.
//
// A timeout for the whole transfer alone is not enough: when the data grows, or
// the link is shared, the transfer takes longer than the timeout. Every attempt is
// then aborted and starts again from zero, so that the link is saturated and no
// transfer ever completes.
package progress
