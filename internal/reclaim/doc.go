// Package reclaim decides what becomes of the streams of endpoints under
// notice: which are left to finish, which move with their KV cache, and which
// are recomputed elsewhere. Each daemon plans for the requests that it holds;
// no lease and no store is needed, since nobody else may move them.
//
// Planner is a plain value: no clock, lock or I/O.
package reclaim
