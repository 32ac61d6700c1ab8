// Package dispatch runs accepted completions: it carries out the actions of
// request.Life against engines and gives the growing answers to their readers.
//
// A run's state is guarded by a mutex and not owned by a goroutine of its own:
// a token then costs one lock instead of two goroutine switches.
package dispatch
