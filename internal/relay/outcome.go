package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Outcome is how a request ended, for logs and metrics.
type Outcome struct {
	ID        string
	Route     string
	Workspace fleet.WorkspaceID
	Priority  int // 0 is the highest; the workspace's own where it has one
	// RoutePriority is the route's, by which a workspace's limit is spent.
	RoutePriority int
	Service       string
	Endpoint      fleet.EndpointID // of the last attempt
	Version       string           // of that endpoint
	// Continued is who continued a stream after its first attempt, empty for none. BeganAt is
	// the version that began it, empty if unknown, and Resumes the caller's attempt that did.
	Continued Continuation
	BeganAt   string
	Resumes   string
	// RolloutShare is the share of the route's requests that went to the new
	// version when the request was placed, RolloutTarget that version; both are
	// empty without a roll-out.
	RolloutShare  float64
	RolloutTarget string
	// Via is the address of the daemon through which the last attempt went, empty if it
	// went to an endpoint directly. Forwarded says that another daemon has admitted the
	// request and sent it here.
	Via           string
	Forwarded     bool
	ConfigVersion uint64    // of the configuration that applied
	ConfiguredAt  time.Time // when that configuration took effect
	Tokens        int
	Reached       int    // endpoints that the request was sent to
	Unreached     int    // endpoints to which there was no connection
	Status        int    // of the endpoint's answer, 0 without one
	Reason        Reason // why there is no complete answer of an endpoint, empty if there is one
	// Failed says that the answer passed on reports a failure of the endpoint
	// itself.
	Failed  bool
	Verdict verdict.Verdict
	// Evidence is what the last attempt's verdict rests on.
	Evidence delivery.Evidence
	// Deliveries are all attempts that were sent, those of other daemons included.
	Deliveries []delivery.Record
	// StoppingFor is how long the daemon had been stopping when the request was received, 0 if
	// it was not.
	StoppingFor time.Duration
	Cause       error // the last attempt's error
	// RequestKey identifies a request that is repeated under another ID; it is zero
	// if it wasn't computed.
	RequestKey quarantine.Key
	// FirstCause is the first attempt's error if another attempt followed.
	FirstCause error
	Predicted  time.Duration // time to the first token of the last attempt
	First      time.Duration // time to the first event or the answer
	Total      time.Duration
	Events     int
	// LongestPause is the longest time between two pieces of a stream.
	LongestPause time.Duration
	// Late is the target that a complete answer missed.
	Late Late
	// RetryAfter is the delay that a refused caller was given.
	RetryAfter time.Duration
	TimeLeft   time.Duration // until the deadline
}

// Continuation says who continued a stream.
type Continuation string

// The values of Continuation.
const (
	NotContinued Continuation = ""
	ByCaller     Continuation = "caller" // in another attempt
	ByDaemon     Continuation = "daemon" // at another endpoint, within one answer
)

// Late is the target of its route that an answer missed.
type Late string

// The targets that can be missed.
const (
	InTime    Late = ""
	LateFirst Late = "first" // the first piece, or the whole of a plain answer
	LatePause Late = "pause" // a pause between pieces
)

// noteLate records which of its route's targets a complete answer missed.
func (o *Outcome) noteLate(r *route.Route) {
	switch {
	case o.Reason != "" || o.Failed:
	case r.Target > 0 && o.First > r.Target:
		o.Late = LateFirst
	case r.PauseTarget > 0 && o.LongestPause > r.PauseTarget:
		o.Late = LatePause
	}
}

// Unproven reports whether the last answer says that the request was not run without proving it.
func (o *Outcome) Unproven() bool {
	switch o.Evidence {
	case delivery.StatusAlone, delivery.Contradiction:
		return true
	case delivery.EndpointUnnamed:
		return delivery.SaysNotRun(o.Status)
	default:
		return false
	}
}

// keepFirstCause keeps the first attempt's error when another attempt follows.
func (o *Outcome) keepFirstCause() {
	if o.FirstCause == nil {
		o.FirstCause = o.Cause
	}
}

// Observer is notified of the requests that endpoints began to run, of connections
// that endpoints closed, of their rate limits, and of the outcomes of requests. Its methods must return
// at once.
type Observer interface {
	// Began reports that an endpoint began to run a workspace's request.
	Began(w fleet.WorkspaceID, at time.Time)
	// Cut reports that an endpoint's connection ended during a request.
	Cut(c ends.Disconnect)
	// RateLimited reports that an endpoint has stated another rate limit, or that its
	// limit has ended, which is Absent.
	RateLimited(e fleet.EndpointID, l backpressure.Limit)
	// Resting reports that an endpoint wants no requests from this daemon for a while.
	Resting(e fleet.EndpointID, rest time.Duration)
	// Leaving reports that an answer of an endpoint says, for the first time, that it leaves.
	// The endpoint must get no further requests once it returns.
	Leaving(e *roster.Endpoint)
	// RejectionsLimited reports that endpoints of a service crash above a rate of
	// rejections, or, where it is Absent, that they no longer do.
	RejectionsLimited(service string, l backpressure.Limit)
	// InvalidAnswer reports an answer with bytes that can't belong to it.
	InvalidAnswer(a *InvalidAnswer)
	Ended(o *Outcome)
}
