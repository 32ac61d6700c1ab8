package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Protocol adapts requests and answers to the protocol of the endpoints.
type Protocol interface {
	// Header returns the header to send with one attempt of a request.
	Header(r *Request, a *Attempt) http.Header
	// Owns returns a function that reports whether an answer, by its header,
	// belongs to the request.
	Owns(r *Request) func(http.Header) upstream.Ownership
	// InvalidKind returns why an answer with this status and header can't be an endpoint's, as one of few
	// words; empty if it can.
	InvalidKind(status int, h http.Header) (kind string)
	// EventFields returns the names of the fields that events of a stream may have beside those of the standard.
	EventFields() []string
	// Classify returns the meaning of an answer with this status and header.
	Classify(status int, h http.Header) Class
	// Stated returns what an endpoint's answer states about the requests that it accepts.
	Stated(status int, h http.Header) backpressure.Stated
	// Answer returns the header to send to the caller.
	Answer(h http.Header) http.Header
}

// RunProtocol is a Protocol by which endpoints state when their process has started.
type RunProtocol interface {
	Protocol
	// RunTarget returns the target of a GET request whose answer states the start.
	RunTarget() string
	// StartedAt returns the start that the body of the answer states.
	StartedAt(body []byte) (at time.Time, stated bool)
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	Endpoint  roster.Endpoint
	Workspace fleet.WorkspaceID // empty without a credential
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	// Priority is 0 for the most important requests.
	Priority int
	// LastEvent is the id of the event after which the stream is to be continued,
	// empty for its start.
	LastEvent string
	// FetchFrom is the address of another endpoint that has more of the prompt in
	// its cache, empty for none.
	FetchFrom string
}

// Class is the meaning of an endpoint's answer.
type Class uint8

// The classes. The zero value is the most cautious one.
const (
	Failure     Class = iota // the endpoint failed; it may have run the request
	Success                  // final once the body was read to its end
	Refused                  // the endpoint states that it did not run the request
	Misdirected              // another endpoint has the address now; not run
	Rejected                 // the request itself is invalid; final, whether it ran or not
)

// VersionSink is a Sink for which the version of a stream's endpoint is of interest.
type VersionSink interface {
	Sink
	// SetVersion is called before Begin, if the version is known.
	SetVersion(version string)
}

// EndpointSink is a Sink for which it is of interest whose answer it gets.
type EndpointSink interface {
	Sink
	// SetEndpoint is called before Whole and Begin, with the endpoint that wrote the answer's head.
	SetEndpoint(id fleet.EndpointID, startedAt time.Time)
}

// Sink sends an answer to one caller. It gets one call of Whole or Refuse; or a
// call of Begin, then calls of WriteBody, and at last End or Abort; or Abort alone.
type Sink interface {
	// Whole sends an endpoint's complete answer.
	Whole(status int, h http.Header, body []byte)
	// Refuse sends an answer of this daemon itself.
	Refuse(Refusal)
	// Deliveries is the record of where the request was sent, to which the relay adds.
	Deliveries() *delivery.Log
	// Begin sends the status and header of an answer whose body follows in pieces.
	Begin(status int, h http.Header)
	// WriteBody sends a piece of the body: whole events of a stream, or any bytes
	// of another answer.
	WriteBody([]byte) error
	// End marks the answer as complete.
	End()
	// Abort ends the answer, or its absence, so that the caller detects that it is truncated.
	Abort()
}
