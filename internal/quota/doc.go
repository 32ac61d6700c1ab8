// Package quota decides whether a workspace's request is within its limit,
// which holds for all daemons together. Every daemon keeps the level of the
// common bucket: it knows its own spending at once and that of the others from
// what they tell each other, a few hundred milliseconds late. The paper on
// limits per user keeps such buckets in one shared store; a
// store call for each request is beyond the platform's rates.
//
// It is a plain decision: no clock, goroutine or socket.
package quota
