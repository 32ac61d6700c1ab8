// Package bench measures what a daemon adds to a request and to a streamed
// token, end to end: a whole deployment in one process on loopback, and each
// request sent in turn straight to a stand-in engine and through an entry. The
// two share one run, so that what else the machine does weighs on both alike.
package bench
