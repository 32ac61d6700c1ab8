package dispatch

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
)

// Router chooses endpoints and tracks their load and health. An implementation
// may drop the reported events, but must answer Pick and Address.
type Router interface {
	Pick(q *routing.Request) (routing.Choice, error)
	// Address returns an endpoint's address, false if the endpoint is not listed.
	Address(id fleet.EndpointID) (string, bool)
	Dispatched(id fleet.EndpointID, q *routing.Request, c routing.Choice)
	FirstToken(id fleet.EndpointID, request fleet.RequestID)
	// Finished reports the end of an attempt.
	Finished(id fleet.EndpointID, request fleet.RequestID, o routing.Outcome)
	// Connected reports that an endpoint has begun to answer an attempt.
	Connected(id fleet.EndpointID)
	// Stalled reports that a stream made no progress for too long.
	Stalled(id fleet.EndpointID)
	DialFailed(id fleet.EndpointID)
}

// Quarantine tracks the requests that crash the engines that run them. Its
// methods don't block.
type Quarantine interface {
	// Held returns for how long a request must not be sent to any engine, 0 if
	// it may be sent.
	Held(k quarantine.Key) time.Duration
	// Cut reports an attempt whose connection broke before the answer was complete.
	Cut(c ends.Disconnect)
	// Responded reports that an engine has sent the first piece of its answer to a
	// request that was sent to it at sent.
	Responded(engine fleet.EndpointID, sent time.Time)
	// Ran reports that an engine has run a request, whose first piece arrived at began.
	Ran(began time.Time, k quarantine.Key)
}

// Admission enforces the workspaces' limits.
type Admission interface {
	// Admit waits while the request is queued. It returns the refusal, or nil if
	// the request is admitted.
	Admit(ctx context.Context, a admission.Request) *problem.Problem
	// Extend renews the request's lease on its workspace's concurrency.
	Extend(id fleet.RequestID)
	// Release ends an admission and reports what the request used.
	Release(id fleet.RequestID, u admission.Usage)
}

// Locator finds requests that other daemons hold.
type Locator interface {
	// Claim registers h unless another daemon is registered as the holder, and
	// returns the holding that is in force. If no directory daemon answers it
	// returns h itself: the directory is best effort, and it is the ledger that
	// keeps non-idempotent requests from running twice.
	Claim(ctx context.Context, h directory.Holding) directory.Holding
	// Announce registers a holding in the background.
	Announce(h directory.Holding)
	Lookup(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (directory.Holding, bool)
	// Follow reads the answer of a request that another daemon holds. digest is
	// that of the caller's body; if the holder's request has another one, Follow
	// returns ErrOtherBody. A zero digest matches any.
	Follow(ctx context.Context, h directory.Holding, digest request.Digest) (gateway.Answer, error)
	// Cancel cancels a request that another daemon holds, and reports whether
	// that daemon still had it.
	Cancel(ctx context.Context, h directory.Holding) bool
}

// Intents is the ledger of requests that run at most once.
type Intents interface {
	// Intend records that owner is about to dispatch the request. It returns a
	// grant, the record of an earlier owner, or a refusal after which nothing is
	// recorded.
	Intend(ctx context.Context, ref request.Ref, owner string, digest request.Digest) Intent
	// Settle stores the outcome, best effort.
	Settle(ref request.Ref, owner string, digest request.Digest, outcome ledger.Outcome)
}

// Intent is the result of Intend. Exactly one of Granted, Existing and Refused
// is set.
type Intent struct {
	Granted  bool
	Owner    string // with Granted: the owner to pass to Settle; may differ from the one passed to Intend
	Existing *ExistingIntent
	Refused  *problem.Problem
}

// ExistingIntent is the ledger's record of a key that was used before.
type ExistingIntent struct {
	Outcome *ledger.Outcome // nil until it is settled
}

// Observer records metrics.
type Observer interface {
	Attempt(kind string)       // dispatch, resume, continue or move
	AttemptFailed(kind string) // name of a request.FailureKind
	Ended(verdict string)      // a request ended with this verdict
	Recomputed(tokens int)     // generated tokens that another engine has to prefill
}
