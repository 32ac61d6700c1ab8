// Package connections decides which connections of clients are kept, so that any number of clients
// leaves the process within its memory and its descriptors. It does no I/O: connections report what
// happens on them, and the package returns those to close.
//
// A connection waits until a whole request has arrived, and again once the request is answered. One
// that waits gives way to others when its listener has no place left, and when memory for heads or
// bodies runs out: first the one that has waited longest. One whose request is being served gives
// way only if its client takes no bytes of the answer.
package connections
