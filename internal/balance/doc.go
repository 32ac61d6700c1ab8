// Package balance chooses the endpoint of a relayed request: among a service's
// endpoints that are not draining, the one with the lowest predicted cost in time. The
// cost consists of the pending prefill there, the share of its slots in use, the part
// of the prompt that it would have to compute, its distance and its recent failures.
//
// The load of an endpoint is this daemon's own, known at once, plus the load that the
// other daemons reported, which is a few hundred milliseconds old. Requests that share
// a prompt prefix go to one home endpoint: all daemons determine it by rendezvous
// hashing and need no messages about what is cached where.
//
// The package is plain decision logic: no clock, goroutine or socket.
package balance
