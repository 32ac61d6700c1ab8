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
	// is the time between the last two; firstSumsHold is the time after the first ones.
	maxSumsHold   = 30 * time.Second
	firstSumsHold = 2 * time.Second
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
	m := b.measured(c)
	if m == nil {
		return
	}
	d := b.speeds.meter.ObserveEvents(now, m.key(), seconds, events, m.load())
	b.speeds.estimator(m.Service).ObserveDeviation(now, d)
}

// PrefillAhead returns the prompt tokens to be computed at a choice before the first token of a
// request that is about to be sent there; 0 if the time to it would not be that of computing them.
func (b *Balancer) PrefillAhead(r *Request, c Choice) int {
	m := b.measured(c)
	if m == nil || c.FetchFrom != "" {
		return 0
	}
	return m.own.PendingPrefill + m.others.PendingPrefill + max(r.Prompt-c.Cached, 0)
}

// ObservePrefill records the seconds to the first event of a stream at a choice, for which so many
// tokens had to be computed.
func (b *Balancer) ObservePrefill(now time.Time, c Choice, tokens int, seconds float64) {
	if m := b.measured(c); m != nil {
		b.speeds.meter.ObservePrefill(now, m.key(), tokens, seconds)
	}
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
		m := b.measured(waits[i].Choice)
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

// SetOtherSpeeds takes the observations of all other daemons.
func (b *Balancer) SetOtherSpeeds(now time.Time, others speed.Observations) {
	s := &b.speeds
	if s.mode == speed.ModeOff {
		return
	}
	s.hold = firstSumsHold
	if !s.othersAt.IsZero() {
		s.hold = min(max(now.Sub(s.othersAt), 0), maxSumsHold)
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
	share, hold := speed.Remainder(age-s.hold), age > 0 && age < s.hold
	observed := func(k rendezvous.ShortKey) speed.Observation {
		own := s.meter.At(now, k)
		if stall, ok := s.stalls[k]; ok {
			own = own.Add(stall)
		}
		if _, ok := s.forgotten[k]; ok {
			return own
		}
		return own.Add(s.others[k].Remaining(share))
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
			set[i].slow = slowness{decode: f.Decode, prefill: f.Prefill}
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
	s.meter.Forget(m.key())
	if e := s.estimators[m.Service]; e != nil {
		e.Forget(m.key())
	}
	delete(s.stalls, m.key())
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

// measured returns the engine of a choice, nil if its speed isn't observed.
func (b *Balancer) measured(c Choice) *member {
	m := b.member(c)
	if m == nil || !m.isEngine || b.speeds.mode == speed.ModeOff {
		return nil
	}
	return m
}

// load returns the share of the endpoint's slots in use.
func (m *member) load() float64 { return float64(m.running()) / float64(max(m.Slots, 1)) }

// key returns the endpoint's key in messages.
func (m *member) key() rendezvous.ShortKey { return rendezvous.ShortKey(m.hash) }
