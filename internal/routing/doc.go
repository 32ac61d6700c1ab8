// Package routing chooses the endpoint of each attempt to serve a request. A
// pick filters the endpoints that can serve it, gathers a bounded number of
// candidates among them whatever the fleet's size, scores each candidate's cost
// in tokens, and returns the cheapest.
//
// A Router has no clock, goroutine or lock: the goroutine that owns it passes
// in the time and the events. Daemons with the same list of endpoints rank them
// identically for a prompt, so they send a conversation to the same engine
// without a shared index. Cache events and load reports correct that choice;
// they arrive late, and some are lost.
package routing
