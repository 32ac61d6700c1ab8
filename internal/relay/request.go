package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
)

// Request is a caller's request, read to its end.
type Request struct {
	// ID names this try of the caller's; an endpoint's answer bears it.
	ID     string
	Method string
	Target string // path and query as sent
	Path   string // without the query
	Host   string
	Header http.Header // to be passed on
	Body   []byte
	// Key is the credential, empty without one.
	Key      string
	Received time.Time
	// Deadline is when the caller stops to wait.
	Deadline time.Time
	// Prompt and Output are the tokens of a generation, 0 for other requests;
	// Output is the most that may be made.
	Prompt, Output int
	// ExpectedOutput is the caller's estimate of the output tokens, 0 without one.
	ExpectedOutput int
	Parts          []balance.Part
	// LastEvent is the id after which a stream goes on, empty from its start.
	LastEvent string
}

// tokens returns what a token limit counts.
func (r *Request) tokens() int { return r.Prompt + r.Output }

// balanceRequest returns what the choice of an endpoint depends on.
func (r *Request) balanceRequest(service string) *balance.Request {
	output := r.Output
	if r.ExpectedOutput > 0 {
		output = r.ExpectedOutput
	}
	return &balance.Request{Service: service, Parts: r.Parts, Prompt: r.Prompt, Output: output}
}
