package upstream

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
)

// Call is one request to one endpoint.
type Call struct {
	Address string // host:port of the endpoint
	// Deliveries records the call, under the receiver's name To, before its first byte is written;
	// nil: it isn't recorded.
	Deliveries *delivery.Log
	To         string
	Method     string
	Target     string // path and query as the caller sent them
	Host       string
	// Header is called once a connection is established: a header may state the
	// time that is left, which excludes the time for connecting.
	Header func() http.Header
	Body   []byte
	// Gate is asked once a connection is established, just before the call is sent; nil: it may
	// be sent.
	Gate Gate
	// ID is what answers name the request by. A connection that has carried it lately isn't used
	// for it again: a late copy of the earlier answer would be taken for the new one. Empty: any
	// connection will do.
	ID string
	// Owns reports whether an answer's header names this request: on a reused
	// connection, a late answer to an earlier request may come first.
	Owns func(http.Header) Ownership
	// EstablishedBy is until when the connection must have been established; zero: any will
	// do.
	EstablishedBy time.Time
	// Confirm confirms a connection that was established later; nil: it isn't used.
	Confirm *Confirmation
	// HeadTimeout bounds the wait for the answer's head; 0 leaves it to the
	// context.
	HeadTimeout time.Duration
	// SilenceTimeout bounds the time in which no bytes arrive from the endpoint on
	// any connection that the pool established before sending the call; 0 leaves
	// it to the context.
	SilenceTimeout time.Duration
}

// Gate decides whether a call may still be sent.
type Gate interface {
	// MaySend returns nil, or why the call must not be sent. It must return at once.
	MaySend() error
}

// Ownership is the request that an answer's header names.
type Ownership uint8

// The values of Ownership.
const (
	ThisRequest     Ownership = iota // names this request
	OtherRequest                     // names another request
	NoRequest                        // names none
	SeveralRequests                  // names this request and another one
)
