// Package quota decides whether a workspace's request is within its rate limit, which
// applies to all daemons together. Every daemon keeps its own estimate of the level of
// one common token bucket: it counts its own spending at once, and that of the other
// daemons from their periodic reports, a few hundred milliseconds late. The usual
// design, a bucket in a shared store, would need a store call for each request, which
// is beyond the platform's rates.
//
// Hubs are daemons that collect the reports of all others and answer each with the
// sums (package exchange).
//
// The package is plain decision logic: no clock, goroutine or socket.
package quota
