package relay

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// track is one attempt's place in the shared state.
type track struct {
	flight *flight
	choice balance.Choice
	sent   time.Time
	first  bool
	lose   context.CancelCauseFunc // ends the attempt
	// counter counts it for a roll-out, nil for none.
	counter *rollout.Counter
	toNew   bool
}

// errRestarted ends attempts at an endpoint that has started again.
var errRestarted = errs.New("the endpoint has started again")

// pick chooses an endpoint for a flight, or says why there is none.
func (s *State) pick(now time.Time, f *flight) (balance.Choice, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.pickSide(now, f)
	if !ok {
		return c, notRun(NoEndpoint, spread(retryNoEndpoint, s.rng.Float64()))
	}
	if !f.asked {
		f.asked = true
		if counter := s.versions.counters[f.service]; counter != nil {
			counter.CountRequest()
		}
		s.loads.asked(f.service, f.ask.Output, f.ask.Prompt, max(f.ask.Prompt-c.Cached, 0))
	}
	if wait := hopeless(f, c, now); wait > 0 {
		s.loads.refused(f.service)
		return c, notRun(Overloaded, spread(wait, s.rng.Float64()))
	}
	return c, nil
}

// hopeless returns after how long a request could be served that would miss
// its target by far at the best endpoint; 0 where it is worth an attempt. A
// late answer is worth a tenth and takes the place of one in time. The less
// urgent give way first. A route without a target is always worth one.
func hopeless(f *flight, c balance.Choice, now time.Time) time.Duration {
	if f.tally.reached > 0 || f.begun || f.route.Target <= 0 {
		return 0
	}
	patience := f.route.Target
	if f.priority == 0 {
		patience += patience / 2
	}
	wait := time.Duration(c.Wait * float64(time.Second))
	if now.Add(wait).Sub(f.request.Received) <= patience {
		return 0
	}
	return max(wait-patience/2, retryNoEndpoint)
}

// retryNoEndpoint is when a repeat may find what was missing: a list of
// endpoints is at most some hundred milliseconds old.
const retryNoEndpoint = 250 * time.Millisecond

// busy refuses a request that endpoints did not take.
func (s *State) busy(f *flight, reason Reason) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.refused(f.service)
	return notRun(reason, spread(retryNoEndpoint, s.rng.Float64()))
}

func (s *State) takeRetry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Take(now)
}

func (s *State) sent(t *track) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Sent(t.flight.ask, t.choice)
	s.countSent(t)
	id := t.choice.Endpoint.ID
	if s.underway[id] == nil {
		s.underway[id] = map[*track]struct{}{}
	}
	s.underway[id][t] = struct{}{}
}

func (s *State) first(t *track) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.FirstToken(t.flight.ask, t.choice, time.Since(t.sent).Seconds())
}

func (s *State) done(now time.Time, t *track, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, t.flight.ask, t.choice, t.first, o)
	s.countDone(now, t, o)
	id := t.choice.Endpoint.ID
	delete(s.underway[id], t)
	if len(s.underway[id]) == 0 {
		delete(s.underway, id)
	}
}
