// Package reach decides whether this daemon has lost its path to the endpoints of a service,
// as opposed to endpoints that are down or slow. The evidence is that connecting fails at
// several of them and succeeds at none.
//
// The package is plain decision logic: no clock, goroutine or socket.
package reach
