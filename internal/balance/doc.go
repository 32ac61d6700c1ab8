// Package balance chooses the endpoint of a relayed request: among a service's
// endpoints that are not leaving, the one with the least predicted cost in
// time, made of the prompts that wait there, the share of its slots in use, the
// part of the prompt that it would have to read again, its distance and its
// recent failures.
//
// Load is what this daemon has under way, known at once, plus what the other
// daemons told, which is a few hundred milliseconds old. Requests on one
// subject go to one home endpoint, on which all daemons agree by rendezvous
// hashing without telling each other what is cached where.
//
// It is a plain decision: no clock, goroutine or socket.
package balance
