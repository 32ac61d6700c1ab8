// Package retry is a retry budget that all daemons share. In a sliding window,
// the retries of a service (sends after a request's first) are bounded by a
// ratio of its requests plus a small constant. Each daemon enforces its part
// without coordination, so the total also holds during a network partition.
// The package does no I/O and reads no clock.
package retry
