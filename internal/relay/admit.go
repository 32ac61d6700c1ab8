package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// admitted is an accepted request with its route, workspace and deadline.
type admitted struct {
	table        *route.Table
	configuredAt time.Time // when the table took effect
	route        *route.Route
	workspace    *route.Workspace // nil without a credential
	service      string
	cost         float64 // charged to the workspace's limit
	deadline     time.Time
	priority     int
	// pinned says that a forwarded stream goes on, at version.
	pinned  bool
	version string
}

// admit matches a request with its route and workspace and charges it to the
// workspace's limit. A refusal comes with the fields that were found before it.
func (s *State) admit(now time.Time, r *Request) (*admitted, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, refusal := s.match(r)
	if refusal != nil {
		return a, refusal
	}
	a.service = a.route.Backend(s.rng.Float64())
	if a.workspace != nil {
		a.cost = a.workspace.Cost(r.tokens())
		wait, ok := s.quota.Take(now, a.workspace, a.route, a.cost)
		if !ok {
			return a, notRun(OverLimit, jitter(wait, s.rng.Float64()))
		}
	}
	s.retries.Request(now, s.holdUps.HeldUpUntil(now), a.service)
	return a, nil
}

// match finds a request's route, workspace and deadline. The lock is held.
func (s *State) match(r *Request) (*admitted, *Refusal) {
	a := &admitted{table: s.table, configuredAt: s.configuredAt}
	if s.table == nil {
		return a, notRun(NoConfiguration, noConfigurationRetryAfter)
	}
	a.route = s.table.Match(r.Host, r.Path)
	if a.route == nil {
		return a, notRun(NoRoute, 0)
	}
	a.priority = a.route.Priority
	if s.table.RequiresCredential() && !a.route.Public {
		a.workspace = s.table.Workspace(r.Key)
		if a.workspace == nil {
			return a, notRun(UnknownKey, 0)
		}
		if a.workspace.Priority != nil {
			a.priority = *a.workspace.Priority
		}
	}
	a.deadline = r.Deadline
	if end := r.Received.Add(a.route.Timeout); a.route.Timeout > 0 && end.Before(a.deadline) {
		a.deadline = end
	}
	return a, nil
}

// refund returns the cost of a request that was not run to its workspace's limit.
func (s *State) refund(a *admitted) {
	if a.workspace == nil || a.cost == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Refund(a.workspace, a.cost)
}

// noConfigurationRetryAfter is the retry delay while this daemon has no
// configuration: it gets its first one within some round trips.
const noConfigurationRetryAfter = 200 * time.Millisecond

// jitter lengthens a wait by up to a half, so that callers that were refused
// together don't retry together. draw is a random number from [0, 1).
func jitter(wait time.Duration, draw float64) time.Duration {
	return wait + time.Duration(draw*float64(wait)/2)
}

func notRun(reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, Verdict: verdict.NotRun, RetryAfter: after}
}
