package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
)

// Request is a caller's request with its whole body.
type Request struct {
	// ID identifies this try of the caller, who uses another ID to try again. An
	// endpoint's answer carries it.
	ID     string
	Method string
	Target string // path and query as sent
	Path   string // without the query
	Host   string
	Header http.Header // to be forwarded
	Body   []byte
	// Key is the caller's credential, empty without one.
	Key string
	// Received is when the head was received, and Complete when the body was; a zero Complete means
	// that both came together.
	Received, Complete time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Prompt is the prompt's tokens and Output the maximum of output tokens; both
	// are 0 for requests that generate nothing.
	Prompt, Output int
	// ExpectedOutput is the caller's estimate of the output tokens, 0 without one.
	ExpectedOutput int
	// Model is the model that the prompt is for, empty if none is named.
	Model string
	// Parts are the prompt's parts, which are compared with those that endpoints
	// have cached.
	Parts []balance.Part
	// LastEvent is the id of the event after which a stream is to be continued,
	// empty for its start.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream
	// that it takes up, empty if it names none.
	Resumes string
}

// complete returns when the whole request was received.
func (r *Request) complete() time.Time {
	if r.Complete.IsZero() {
		return r.Received
	}
	return r.Complete
}

// takesUp reports whether the caller has events of the stream from an earlier attempt.
func (r *Request) takesUp() bool { return r.LastEvent != "" || r.Resumes != "" }

// tokens returns the tokens that count against a limit.
func (r *Request) tokens() int { return r.Prompt + r.Output }

// balanceRequest returns what the choice of an endpoint depends on.
func (r *Request) balanceRequest(service string) *balance.Request {
	output := r.Output
	if r.ExpectedOutput > 0 {
		output = r.ExpectedOutput
	}
	return &balance.Request{Service: service, Parts: r.Parts, Prompt: r.Prompt, Output: output}
}
