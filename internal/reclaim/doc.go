// Package reclaim plans what to do with the streams on endpoints under notice,
// those whose instances are about to be reclaimed: which streams are left to
// finish, which move with their KV cache, and which are recomputed on another
// endpoint. Each daemon plans for the requests that it holds. This needs no
// lease and no store, since no other daemon may move them.
//
// A Planner has no clock, lock or I/O.
package reclaim
