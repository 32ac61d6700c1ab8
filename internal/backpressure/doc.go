// Package backpressure decides how a daemon follows the limits that endpoints state in
// their answers, so that all daemons together stay within them.
//
// A Table holds the newest statement about each limited endpoint, from this daemon's own
// answers and from other daemons. The package is plain decision logic: no clock,
// goroutine or socket.
package backpressure
