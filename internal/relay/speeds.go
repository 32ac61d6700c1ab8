package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// SetSpeeds sets whether the speeds of endpoints are estimated.
func (s *State) SetSpeeds(m speed.Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetSpeeds(m)
}

// Tick must be called every pause.MonitorInterval, so that time in which this process was held up
// isn't taken for slowness of endpoints.
func (s *State) Tick(now time.Time) { s.holdUps.Tick(now) }

// RanBefore returns when this process last ran before now, see pause.Monitor.
func (s *State) RanBefore(now time.Time) time.Time { return s.holdUps.RanBefore(now) }

// TakeSlowChanges returns the endpoints that have become slow, or are no longer, since the last
// call.
func (s *State) TakeSlowChanges() []balance.SlowChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.TakeSlowChanges()
}

// SpeedCounts returns the number of slower and faster endpoints by service.
func (s *State) SpeedCounts() map[string]balance.SpeedCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.SpeedCounts()
}

// observeArrival records that events of an attempt's stream arrived by a read that began at some
// time; events is their number so far.
func (s *State) observeArrival(now, readBegan time.Time, t *trackedAttempt, events int) {
	took, n, ok := t.run.arrived(now, readBegan, events, s.holdUps.HeldUpUntil(now))
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ObserveEvents(now, t.choice, took.Seconds(), n)
}

// waits returns how long streams in progress have waited for their next event. The lock is held.
func (s *State) waits(now time.Time) []balance.Wait {
	heldUp := s.holdUps.HeldUpUntil(now)
	var out []balance.Wait
	for _, all := range s.attempts {
		for t := range all {
			after := t.waitsAfter.Load()
			if after == 0 {
				continue
			}
			from := t.sent.Add(time.Duration(after))
			if from.Before(heldUp) {
				from = heldUp
			}
			out = append(out, balance.Wait{Choice: t.choice, Seconds: now.Sub(from).Seconds()})
		}
	}
	return out
}
