package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// Submission is a validated completion request of an authenticated workspace.
type Submission struct {
	ID         fleet.RequestID
	Workspace  fleet.WorkspaceID
	KeySent    bool // ID is the caller's Idempotency-Key, so a request with it may exist already
	Completion engineapi.CompletionRequest
	Body       []byte // as received
}

// Part is the next part of an answer: tokens, the end, or both. At most one of
// Done, MovedTo and Failure is set; the part that has it is the last one.
type Part struct {
	Tokens  []string
	Done    bool
	Usage   engineapi.Usage // set with Done
	MovedTo string          // host:port of the callers' API of the daemon that took the request over
	Failure *problem.Problem
}

// Answer is the answer to an accepted request, read while it is generated.
type Answer interface {
	// Next waits until the answer has more than from tokens or has ended, and
	// returns the tokens from that offset on, the end, or both. The tokens are
	// valid until the next call. It returns ctx's error if ctx is done first.
	Next(ctx context.Context, from int) (Part, error)
	// Model returns the model named in the request.
	Model() string
	// Close ends reading. It must be called once the caller has stopped reading.
	Close()
}

// Requests runs completion requests.
type Requests interface {
	// Submit accepts a request, attaches to an existing request with the same
	// id, or refuses. It returns once the request is accepted.
	Submit(ctx context.Context, s *Submission) (Answer, *problem.Problem)
	// Find returns the answer of an accepted request, held by this daemon or another.
	Find(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (Answer, *problem.Problem)
	// Cancel ends an accepted request, held by this daemon or another.
	Cancel(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) *problem.Problem
}

// ServiceCall is a validated call of a plain service: an HTTP service that is
// not a model engine.
type ServiceCall struct {
	Workspace     fleet.WorkspaceID
	Service       string
	Method        string
	Path          string // relative to the service, with a leading slash
	Query         string // raw, without the question mark
	Header        http.Header
	Body          []byte
	Key           fleet.RequestID // the Idempotency-Key, empty if the caller sent none
	NonIdempotent bool            // must not be repeated once it may have run
}

// ServiceAnswer is a plain service's HTTP response.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	// Call sends c to an endpoint of its service and returns the response.
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, *problem.Problem)
}

// Entry is an entry instance: one whose daemon serves the callers' API.
type Entry struct {
	Address    string           `json:"address"` // host:port
	DataCentre fleet.DataCentre `json:"dataCentre"`
}

// Directory lists the entries that a workspace should use, best first. The
// workspace is empty for a caller without a valid token.
type Directory interface {
	Entries(workspace fleet.WorkspaceID) []Entry
}

// Identities verifies credentials and reports which service calls are not idempotent.
type Identities interface {
	// Identify returns the workspace of a bearer token, false if the token is not valid.
	Identify(token string) (fleet.WorkspaceID, bool)
	// NonIdempotent reports whether a service call must not be repeated.
	NonIdempotent(service, method, path string) bool
}

// Readiness reports whether the daemon serves callers.
type Readiness interface {
	// NotReady returns why callers are not served, empty if they are.
	NotReady() string
	// Refusing reports whether new requests are refused because the daemon is shutting down.
	Refusing() bool
}

// Observer records metrics.
type Observer interface {
	// Answered counts a response by operation and HTTP status.
	Answered(operation string, status int)
	// FirstToken records the time from the receipt of a request to the first
	// token of its stream.
	FirstToken(d time.Duration)
	// BetweenTokens records the time between two tokens of a stream.
	BetweenTokens(d time.Duration)
}
