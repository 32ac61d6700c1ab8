package relay

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// rolloutState is this daemon's state of the roll-outs of services to other
// versions.
type rolloutState struct {
	enabled    bool
	gate       *rollout.Gate
	counters   map[string]*rollout.Counter // by service
	keys       map[string]rollout.Key
	mixedSince map[string]time.Time // since when a service has endpoints of several versions
}

func newRolloutState(b rollout.Bounds) rolloutState {
	return rolloutState{
		enabled: b.On(), gate: rollout.NewGate(b), counters: map[string]*rollout.Counter{}, keys: map[string]rollout.Key{},
		mixedSince: map[string]time.Time{},
	}
}

// SetRollouts sets the bounds on roll-outs and discards their state.
func (s *State) SetRollouts(b rollout.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollouts = newRolloutState(b)
}

// ApplyRollouts applies another daemon's update on the roll-outs.
func (s *State) ApplyRollouts(now time.Time, u rollout.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.rollouts
	r.gate.Apply(now, u)
	current := map[string]bool{}
	for _, split := range r.gate.Update(now).Splits {
		current[split.Service] = true
		s.balancer.SetSplit(&split)
		if r.keys[split.Service] != split.Key {
			r.keys[split.Service], r.counters[split.Service] = split.Key, rollout.NewCounter(split.Service, split.Key)
		}
	}
	for service := range r.keys {
		if !current[service] {
			delete(r.keys, service)
			delete(r.counters, service)
			s.balancer.DropSplit(service)
		}
	}
}

// RolloutUpdate returns the update on the roll-outs for other daemons.
func (s *State) RolloutUpdate(now time.Time) rollout.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.gate.Update(now)
}

// RolloutReports returns what this daemon counted in the roll-outs in progress.
func (s *State) RolloutReports(now time.Time) []rollout.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rollout.Report
	for service, c := range s.rollouts.counters {
		split, _ := s.rollouts.gate.Split(now, service)
		if !split.Phase.Final() {
			c.SetMoved(split.AllNew())
			out = append(out, c.Report())
		}
	}
	return out
}

// AnyMoving reports whether some service is moving all its requests to another
// version, so that daemons must exchange their reports sooner.
func (s *State) AnyMoving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.rollouts.counters {
		if split, _ := s.rollouts.gate.Split(now, service); split.Phase == rollout.Moving {
			return true
		}
	}
	return false
}

// VersionCounts returns how many endpoints of a service take requests, of its old
// versions and of the one that it moves to.
func (s *State) VersionCounts(service string) (old, target int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Versions(service)
}

// updateMixed records since when services have endpoints of several versions. The
// lock is held.
func (s *State) updateMixed(now time.Time, services map[string]bool) {
	r := &s.rollouts
	for service := range services {
		_, known := r.mixedSince[service]
		switch mixed := s.balancer.MixedVersions(service); {
		case mixed && !known:
			r.mixedSince[service] = now
		case !mixed:
			delete(r.mixedSince, service)
		}
	}
}

// allowedSide returns the versions that a request may be sent to. The lock is held.
func (s *State) allowedSide(now time.Time, f *inflight) rollout.Side {
	r := &s.rollouts
	if !r.enabled {
		return rollout.Any
	}
	if split, known := r.gate.Split(now, f.service); known {
		draw := s.rng.Float64()
		if f.tally != (tally{}) { // a retry goes to the version on trial only if all requests do
			draw = math.Nextafter(1, 0)
		}
		f.outcome.RolloutTarget, f.outcome.RolloutShare = split.Target(), split.ShareOf(f.route.Name)
		return split.Side(f.route.Name, draw)
	}
	if since, mixed := r.mixedSince[f.service]; mixed && !r.gate.NoOrder(now, since) {
		return rollout.Old
	}
	return rollout.Any
}

// pickAllowed chooses an endpoint of a version that a request may be sent to. A
// request that the new version can't take goes to the old one.
func (s *State) pickAllowed(now time.Time, f *inflight) (balance.Choice, bool) {
	if f.balanceReq.Pinned {
		if !s.mayUseVersion(now, f) {
			return balance.Choice{}, false
		}
		return s.balancer.Pick(now, f.balanceReq)
	}
	f.balanceReq.Side = s.allowedSide(now, f)
	c, ok := s.balancer.Pick(now, f.balanceReq)
	if !ok && f.balanceReq.Side == rollout.New {
		f.balanceReq.Side = rollout.Old
		c, ok = s.balancer.Pick(now, f.balanceReq)
	}
	return c, ok
}

// countSent counts the start of an attempt for the roll-out of its service. The
// lock is held.
func (s *State) countSent(t *trackedAttempt) {
	c := s.rollouts.counters[t.inflight.service]
	if c == nil {
		return
	}
	t.counter = c
	t.toNew = t.choice.Endpoint.Version == s.rollouts.keys[t.inflight.service].Target
	switch {
	case t.toNew:
		c.CountExposed()
	case !t.inflight.route.Repeatable():
		c.AddRunning(1)
	}
}

// countDone counts an attempt's end. The lock is held.
func (s *State) countDone(now time.Time, t *trackedAttempt, o balance.Outcome) {
	if t.counter == nil {
		return
	}
	if !t.toNew && !t.inflight.route.Repeatable() {
		t.counter.AddRunning(-1)
	}
	failed := t.inflight.outcome.Failed
	if !failed && o != balance.Answered || now.Before(t.choice.Endpoint.WarmUpEnd) {
		return // an incomplete answer or an endpoint that warms up is no evidence about a version
	}
	newEndpoint := ""
	if t.toNew {
		newEndpoint = string(t.choice.Endpoint.ID)
	}
	t.counter.CountAnswer(t.inflight.route.Name, newEndpoint, failed, now.Sub(t.sent))
}
