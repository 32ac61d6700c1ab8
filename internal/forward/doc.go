// Package forward is the protocol by which a daemon sends a request through another one that
// can reach the endpoints: HTTP with the caller's request unchanged and an envelope in one
// header. Closing the connection cancels the request, and an answer that ends early isn't
// complete, as towards endpoints, so that verdicts hold over the hop.
package forward
