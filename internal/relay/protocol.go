package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Protocol is how endpoints are spoken to.
type Protocol interface {
	// Header returns the header of one attempt of a request.
	Header(r *Request, a *Attempt) http.Header
	// Owns returns the check of whose answer a head is.
	Owns(r *Request) func(http.Header) upstream.Ownership
	// Classify says what an answer's head means.
	Classify(status int, h http.Header) Class
	// Answer returns the header that the caller gets.
	Answer(h http.Header) http.Header
}

// Attempt is one send of a request.
type Attempt struct {
	Endpoint  roster.Endpoint
	Workspace fleet.WorkspaceID // empty without a credential
	// TimeLeft is how long the endpoint may work on it.
	TimeLeft time.Duration
	// Priority is 0 for the most important.
	Priority int
	// LastEvent is the id after which the stream goes on, empty from its start.
	LastEvent string
	// FetchFrom is the address of another endpoint that has more of the prompt
	// cached, empty for none.
	FetchFrom string
}

// Class is what an endpoint's answer means.
type Class uint8

// The classes. The zero value is the one that allows least.
const (
	Failure     Class = iota // the endpoint's own failure; it may have run
	Success                  // counts once it was read whole
	Refused                  // the endpoint states that it did not run it
	Misdirected              // another endpoint has the address; not run
	Rejected                 // the request itself is wrong; ran or not, it is final
)

// Sink is the way to one caller. Either Whole or Refuse is called once, or
// Begin, then Events and at last End or Break.
type Sink interface {
	// Whole sends an endpoint's complete answer.
	Whole(status int, h http.Header, body []byte)
	// Refuse sends this daemon's own answer.
	Refuse(Refusal)
	// Begin sends the head of an answer whose body follows in pieces.
	Begin(status int, h http.Header)
	// WriteBody sends whole events at once.
	WriteBody([]byte) error
	// End ends the answer as complete.
	End()
	// Abort ends the answer so that the caller sees that it is cut short.
	Abort()
}
