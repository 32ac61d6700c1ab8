// Package spread brings a text that changes, version by version, from daemons
// that have its newest version to those that don't.
//
// Failure: a text of a megabyte is sent whole to each daemon of a fleet, from
// several sources at once, each transfer bounded by its length. Symptom: behind
// a narrow link every transfer is cut and begins again, for ever, and nothing
// else gets through. So a daemon fetches from one source at a time, only what
// differs from the version it has, and in pieces: a call that is cut loses a
// piece, not what came before it.
//
// Types of this package are plain decisions: they are not safe for concurrent
// use.
package spread
