package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Outcome is how a request ended, for logs and metrics.
type Outcome struct {
	ID        string
	Route     string
	Workspace fleet.WorkspaceID
	Service   string
	Endpoint  fleet.EndpointID // of the last attempt
	Version   string           // that endpoint's
	// RolloutShare is the part of the route's requests that went to the new version when the
	// request was placed, Rollout the target; empty where there is no roll-out.
	RolloutShare  float64
	RolloutTarget string
	ConfigVersion uint64    // version that decided
	ConfiguredAt  time.Time // when that version was put in force
	Tokens        int
	Reached       int    // endpoints it was sent to
	Unreached     int    // endpoints to which there was no connection
	Status        int    // of the endpoint's answer, 0 without one
	Reason        Reason // where it has no whole answer of an endpoint's
	// Failed says that the answer passed on is the endpoint's own failure.
	Failed  bool
	Verdict verdict.Verdict
	Cause   error // the last attempt's error
	// RequestKey tells a request that comes again under another ID; it is zero
	// where nothing asked for it.
	RequestKey quarantine.Key
	// FirstCause is the first attempt's error, where another one followed.
	FirstCause error
	Predicted  time.Duration
	First      time.Duration // to the first event or the answer
	Total      time.Duration
	Events     int
	// LongestPause is the longest time between two pieces of a stream.
	LongestPause time.Duration
	// Late says which target a whole answer missed.
	Late Late
	// RetryAfter is what a refused caller was told.
	RetryAfter time.Duration
	TimeLeft   time.Duration // until its deadline
}

// Late is what of an answer came later than its route's targets.
type Late string

// The targets that can be missed.
const (
	InTime    Late = ""
	LateFirst Late = "first" // the first piece, or the whole of a plain answer
	LatePause Late = "pause" // a pause between pieces
)

// noteLate notes which of a route's targets a whole answer missed.
func (o *Outcome) noteLate(r *route.Route) {
	switch {
	case o.Reason != "" || o.Failed:
	case r.Target > 0 && o.First > r.Target:
		o.Late = LateFirst
	case r.PauseTarget > 0 && o.LongestPause > r.PauseTarget:
		o.Late = LatePause
	}
}

// keepFirstCause notes that another attempt follows the last one.
func (o *Outcome) keepFirstCause() {
	if o.FirstCause == nil {
		o.FirstCause = o.Cause
	}
}

// Observer is told of what endpoints began and of how requests ended. Its
// methods must return at once.
type Observer interface {
	// Began says that an endpoint began to run a workspace's request.
	Began(w fleet.WorkspaceID, at time.Time)
	// Cut says that an endpoint's connection ended under a request.
	Cut(c ends.Cut)
	Ended(o *Outcome)
}
