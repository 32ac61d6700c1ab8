package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// Submission is a checked completion request of a verified workspace.
type Submission struct {
	ID         fleet.RequestID
	Workspace  fleet.WorkspaceID
	KeySent    bool // the caller chose the id, so it may be known already
	Completion engineapi.CompletionRequest
	Body       []byte // as the caller sent it
}

// Part is the next part of an answer. Exactly one of Tokens, Done, MovedTo and
// Failure tells what happened; Done may come with the last Tokens.
type Part struct {
	Tokens  []string
	Done    bool
	Usage   engineapi.Usage // with Done
	MovedTo string          // callers' address of the daemon that goes on
	Failure *problem.Problem
}

// Answer is an accepted request's answer while it grows.
type Answer interface {
	// Next waits until the answer is longer than from tokens, or has ended.
	// It returns ctx's error when ctx ends first.
	Next(ctx context.Context, from int) (Part, error)
	// Model returns the model that was asked for.
	Model() string
	// Close says that the caller no longer reads.
	Close()
}

// Requests runs completions.
type Requests interface {
	// Submit accepts a request, attaches to the one that has its id, or
	// refuses. It returns once the request is accepted.
	Submit(ctx context.Context, s *Submission) (Answer, *problem.Problem)
	// Find returns the answer of an accepted request, held here or elsewhere.
	Find(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (Answer, *problem.Problem)
	// Cancel ends an accepted request, held here or elsewhere.
	Cancel(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) *problem.Problem
}

// ServiceCall is a checked call of a plain service.
type ServiceCall struct {
	Workspace     fleet.WorkspaceID
	Service       string
	Method        string
	Path          string // below the service, with its leading slash
	Query         string // raw
	Header        http.Header
	Body          []byte
	Key           fleet.RequestID // empty where the caller sent none
	NonIdempotent bool
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, *problem.Problem)
}

// Entry is an entry instance that callers may use.
type Entry struct {
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
}

// Directory answers which entries a workspace should use, best first.
type Directory interface {
	Entries(workspace fleet.WorkspaceID) []Entry
}

// Identities verifies credentials and says what a workspace may do.
type Identities interface {
	// Identify returns the workspace of a bearer token.
	Identify(token string) (fleet.WorkspaceID, bool)
	// NonIdempotent reports whether a service call must not be repeated.
	NonIdempotent(service, method, path string) bool
}

// Readiness says why callers are not served, empty when they are.
type Readiness interface {
	NotReady() string
	// Refusing reports whether new requests are refused because the daemon leaves.
	Refusing() bool
}

// Observer is told what the metrics need.
type Observer interface {
	Answered(operation string, status int)
	FirstToken(d time.Duration)
	BetweenTokens(d time.Duration)
}
