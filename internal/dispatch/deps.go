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

// Router is the routing duty. Its events may be dropped; its answers are not.
type Router interface {
	Pick(q *routing.Request) (routing.Choice, error)
	Address(id fleet.EndpointID) (string, bool)
	Dispatched(id fleet.EndpointID, q *routing.Request, c routing.Choice)
	FirstToken(id fleet.EndpointID, request fleet.RequestID)
	Finished(id fleet.EndpointID, request fleet.RequestID, o routing.Outcome)
	Connected(id fleet.EndpointID)
	Stalled(id fleet.EndpointID)
	DialFailed(id fleet.EndpointID)
}

// Quarantine knows the requests that crash the engines that run them. Its methods
// return at once.
type Quarantine interface {
	// Held returns for how long a request isn't to be sent to any engine, 0
	// where it may be.
	Held(k quarantine.Key) time.Duration
	// Cut says that an attempt ended with its connection.
	Cut(c ends.Cut)
	// Ran says that an engine gave the first piece of an answer to a request
	// that was sent at a time.
	Ran(engine fleet.EndpointID, sent time.Time, k quarantine.Key)
}

// Admission is the limits duty.
type Admission interface {
	// Admit waits while a request is queued. It returns the refusal, or nil.
	Admit(ctx context.Context, a admission.Request) *problem.Problem
	Extend(id fleet.RequestID)
	Release(id fleet.RequestID, u admission.Usage)
}

// Locator finds requests that other daemons hold.
type Locator interface {
	// Claim registers a holding unless another is known, and returns the one
	// that counts. When no directory daemon answers it returns h itself: the
	// directory is a help, and not what keeps orders from running twice.
	Claim(ctx context.Context, h directory.Holding) directory.Holding
	// Announce registers a holding in the background.
	Announce(h directory.Holding)
	Lookup(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (directory.Holding, bool)
	// Follow reads the answer of a request that another daemon holds. With the
	// digest of a caller's body it returns ErrOtherBody where the holder's
	// request has another one; a zero digest matches any.
	Follow(ctx context.Context, h directory.Holding, digest request.Digest) (gateway.Answer, error)
	// Cancel cancels a request that another daemon holds, and reports whether
	// the holder knew it.
	Cancel(ctx context.Context, h directory.Holding) bool
}

// Intents is the ledger of requests that run at most once.
type Intents interface {
	// Intend records that owner is about to dispatch. It returns a grant, the
	// record of whoever came first, or a refusal after which nothing is recorded.
	Intend(ctx context.Context, ref request.Ref, owner string, digest request.Digest) Intent
	// Settle stores the outcome, at the best effort.
	Settle(ref request.Ref, owner string, digest request.Digest, outcome ledger.Outcome)
}

// Intent is the answer to Intend. Exactly one field is set.
type Intent struct {
	Granted  bool
	Owner    string // with Granted: whose grant it is, to settle; may differ from the one asked for
	Existing *ExistingIntent
	Refused  *problem.Problem
}

// ExistingIntent is what the ledger knows of a key that was used before.
type ExistingIntent struct {
	Outcome *ledger.Outcome // as settled, nil while unknown
}

// Observer is told what the metrics need.
type Observer interface {
	Attempt(kind string)       // dispatch, resume, continue, move
	AttemptFailed(kind string) // a failure's kind
	Ended(verdict string)      // of a request
	Recomputed(tokens int)     // generated tokens given to another engine to prefill
}
