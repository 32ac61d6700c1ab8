package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// admitted is a request that was let in.
type admitted struct {
	table        *route.Table
	configuredAt time.Time // when the table was put in force
	route        *route.Route
	workspace    *route.Workspace // nil without a credential
	service      string
	cost         float64 // taken from the workspace's limit
	deadline     time.Time
	priority     int
}

// admit matches a request with its route and workspace and takes it from the
// workspace's limit.
// What was found before a refusal is returned with it.
func (s *State) admit(now time.Time, r *Request) (*admitted, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &admitted{table: s.table, configuredAt: s.configuredAt}
	if s.table == nil {
		return a, notRun(NoConfiguration, noConfigurationRetryAfter)
	}
	a.route = s.table.Match(r.Host, r.Path)
	if a.route == nil {
		return a, notRun(NoRoute, 0)
	}
	a.priority = a.route.Priority
	if s.table.Closed() && !a.route.Public {
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
	a.service = a.route.Backend(s.rng.Float64())
	if a.workspace != nil {
		a.cost = a.workspace.Cost(r.tokens())
		wait, ok := s.quota.Take(now, a.workspace, a.cost)
		if !ok {
			return a, notRun(OverLimit, jitter(wait, s.rng.Float64()))
		}
	}
	s.budget(a.service).Request(now)
	return a, nil
}

// refund returns what an admitted request took, after it was not run.
func (s *State) refund(a *admitted) {
	if a.workspace == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Refund(a.workspace, a.cost)
}

// noConfigurationRetryAfter is when a daemon without a configuration should have
// one: the first list takes some round trips.
const noConfigurationRetryAfter = 200 * time.Millisecond

// jitter draws from one to one and a half times a wait, so that callers who
// were refused together don't come back together.
func jitter(wait time.Duration, draw float64) time.Duration {
	return wait + time.Duration(draw*float64(wait)/2)
}

func notRun(reason Reason, after time.Duration) *Refusal {
	return &Refusal{Reason: reason, Verdict: verdict.NotRun, RetryAfter: after}
}
