// Package dispatch runs completions: it performs the actions of request.Lifecycle,
// the state machine of a request, against the engines and streams the growing
// answers to their readers. When the daemon leaves, it hands its requests over
// to other daemons.
//
// A mutex guards the state of each run, rather than a goroutine that owns it:
// a token then costs one lock instead of two goroutine switches.
package dispatch
