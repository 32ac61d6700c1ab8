package upstream

import (
	"net/http"
	"time"
)

// Call is one request to one endpoint.
type Call struct {
	Address string // host:port of the endpoint
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	// Header is asked for when there is a connection: it may say how much
	// time is left, of which setting one up takes a part.
	Header func() http.Header
	Body   []byte
	// Owns reports whether an answer's header names this request; a kept
	// connection may first bring a late answer to an earlier one.
	Owns func(http.Header) Ownership
	// HeadTimeout bounds the wait for the answer's head; 0 leaves it to the
	// context.
	HeadTimeout time.Duration
	// SilenceTimeout bounds how long the endpoint may be silent on all connections of
	// this pool while the call waits; 0 leaves it to the context.
	SilenceTimeout time.Duration
}

// Ownership says whose answer a head is.
type Ownership uint8

// The kinds of ownership.
const (
	ThisRequest  Ownership = iota // names this request
	OtherRequest                  // names another request
	NoRequest                     // names none
)
