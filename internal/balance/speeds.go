package balance

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

const (
	// minSpeedsUpdate is the least time between two updates of the endpoints' slowness, except when
	// sums arrive. speedsUpdatePerEndpoint bounds the time that updates take to about a thousandth
	// of a core at any number of endpoints: one of 3,000 endpoints takes 0.6 ms.
	minSpeedsUpdate         = 200 * time.Millisecond
	speedsUpdatePerEndpoint = 200 * time.Microsecond
	// maxSumsHold bounds the time for which sums count in full until the next ones are due, which
	// is the time between the last two, and at least firstSumsHold.
	maxSumsHold   = 30 * time.Second
	firstSumsHold = 2 * time.Second
	// prefillingStep is the part by which a load report changes the share of those with prompts to
	// compute: with one every 400 ms, it covers the time that the observations of events do.
	prefillingStep = 0.07
	// restartGrace is how long sums are ignored for an endpoint that has restarted, or was removed
	// and is listed again, since other daemons may not know of it yet.
	restartGrace = 2 * time.Second
)

// speeds is what the balancer knows of the endpoints' speeds.
type speeds struct {
	mode       speed.Mode
	meter      *speed.Meter
	stalls     speed.Observations // of this daemon's streams that waited at the last report
	others     speed.Observations // of all other daemons, as received at othersAt
	othersAt   time.Time
	hold       time.Duration // for which others count in full
	estimators map[string]*speed.Estimator
	forgotten  map[rendezvous.ShortKey]time.Time // endpoints, until when sums are ignored for them
	updatedAt  time.Time
	keys       []rendezvous.ShortKey // reused
	changes    []SlowChange
}

func newSpeeds() speeds {
	return speeds{
		meter: speed.NewMeter(), estimators: map[string]*speed.Estimator{}, forgotten: map[rendezvous.ShortKey]time.Time{},
	}
}

// SetSpeeds sets whether the speeds of endpoints are estimated.
func (b *Balancer) SetSpeeds(m speed.Mode) { b.speeds.mode = m }

// ObserveEvents records the seconds that a run of a stream's events took at a choice.
func (b *Balancer) ObserveEvents(now time.Time, c Choice, seconds float64, events int) {
	m := b.measured(now, c)
	if m == nil {
		return
	}
	d := b.speeds.meter.ObserveEvents(now, m.key(), seconds, events, m.load())
	b.speeds.estimator(m.Service).ObserveDeviation(now, d)
}

// Wait is a stream in progress that has waited for its next event for some seconds.
type Wait struct {
	Choice  Choice
	Seconds float64
}

// OwnSpeeds returns this daemon's observations, with the streams that wait for longer than
// usual, and updates the slowness of endpoints by them.
func (b *Balancer) OwnSpeeds(now time.Time, waits []Wait) speed.Observations {
	s := &b.speeds
	if s.mode == speed.ModeOff {
		return nil
	}
	s.stalls = speed.Observations{}
	for i := range waits {
		m := b.measured(now, waits[i].Choice)
		if m == nil {
			continue
		}
		if o, ok := speed.Stall(waits[i].Seconds, s.estimator(m.Service).UsualEventSeconds(), m.load()); ok {
			s.stalls[m.key()] = s.stalls[m.key()].Add(o)
		}
	}
	b.updateSlowness(now, false)
	own := s.meter.Own(now)
	own.Add(s.stalls, 0)
	return own
}

// SetOtherSpeeds takes the observations of all other daemons, which belong to the balancer from
// then on.
func (b *Balancer) SetOtherSpeeds(now time.Time, others speed.Observations) {
	s := &b.speeds
	if s.mode == speed.ModeOff {
		return
	}
	s.hold = firstSumsHold
	if !s.othersAt.IsZero() { // after a change of the hub, two sums may come close together
		s.hold = min(max(now.Sub(s.othersAt), firstSumsHold), maxSumsHold)
	}
	for key := range s.forgotten {
		delete(others, key)
	}
	s.others, s.othersAt = others, now
	b.updateSlowness(now, true)
}

// updateSlowness sets the slowness of all engines where the last update isn't recent, or if forced
// by the arrival of sums.
func (b *Balancer) updateSlowness(now time.Time, forced bool) {
	s := &b.speeds
	least := max(minSpeedsUpdate, time.Duration(len(b.members))*speedsUpdatePerEndpoint)
	if !forced && now.Sub(s.updatedAt) < least && !now.Before(s.updatedAt) {
		return
	}
	s.updatedAt = now
	s.pruneForgotten(now)
	age := now.Sub(s.othersAt)
	part, hold := speed.Decay(age-s.hold), age > 0 && age < s.hold
	observed := func(k rendezvous.ShortKey) speed.Observation {
		own := s.meter.At(now, k)
		if stall, ok := s.stalls[k]; ok {
			own = own.Add(stall)
		}
		own = own.Add(s.others[k].Scaled(part))
		if m := b.byKey[k]; m != nil {
			own.Prefilling = m.prefilling
		}
		return own
	}
	for service, set := range b.listed {
		if !set[0].isEngine {
			continue
		}
		s.keys = s.keys[:0]
		for _, m := range set {
			s.keys = append(s.keys, m.key())
		}
		for i, f := range s.estimator(service).Estimate(now, s.keys, observed, hold, s.mode) {
			set[i].slow = slowness(f)
			s.noteSlow(now, set[i])
		}
	}
	for service := range s.estimators {
		if len(b.listed[service]) == 0 {
			delete(s.estimators, service)
		}
	}
}

// forgetSpeed drops what is known of the speed of an endpoint that is gone or has restarted.
func (b *Balancer) forgetSpeed(now time.Time, m *member) {
	s := &b.speeds
	if s.mode == speed.ModeOff {
		return
	}
	s.meter.Forget(m.key())
	if e := s.estimators[m.Service]; e != nil {
		e.Forget(m.key())
	}
	delete(s.stalls, m.key())
	delete(s.others, m.key())
	s.forgotten[m.key()] = now.Add(restartGrace)
}

// pruneForgotten removes the endpoints for which sums count again.
func (s *speeds) pruneForgotten(now time.Time) {
	for key, until := range s.forgotten {
		if now.After(until) {
			delete(s.forgotten, key)
		}
	}
}

func (s *speeds) estimator(service string) *speed.Estimator {
	e := s.estimators[service]
	if e == nil {
		e = speed.NewEstimator()
		s.estimators[service] = e
	}
	return e
}

// measured returns the engine of a choice, nil if its speed isn't observed, as while it warms up.
func (b *Balancer) measured(now time.Time, c Choice) *member {
	m := b.member(c)
	if m == nil || !m.isEngine || now.Before(m.WarmUpEnd) || b.speeds.mode == speed.ModeOff {
		return nil
	}
	return m
}

// observePrefilling takes from a new load report whether the endpoint has prompts to compute.
func (m *member) observePrefilling() {
	now := 0.0
	if m.own.PendingPrefill+m.others.PendingPrefill > 0 {
		now = 1
	}
	m.prefilling += prefillingStep * (now - m.prefilling)
}

// load returns the share of the endpoint's slots in use.
func (m *member) load() float64 { return float64(m.running()) / float64(max(m.Slots, 1)) }

// key returns the endpoint's key in messages.
func (m *member) key() rendezvous.ShortKey { return rendezvous.ShortKey(m.hash) }
