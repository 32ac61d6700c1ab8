package node

import (
	"context"
	"sync"
	"time"
)

const (
	// startHold is how long after a daemon's start requests wait for the configuration and
	// the list of endpoints: both arrive within 0.2 to 0.4 s, in a fleet of hundreds that
	// starts at once and gets them from each other. Later requests are refused at once.
	startHold = 800 * time.Millisecond
	// maxWaiting bounds the requests that wait: some megabytes of bodies.
	maxWaiting = 256
)

// startGate holds requests that arrive before a daemon has a configuration and
// endpoints. When all daemons are killed and start again, callers connect as soon as the
// listeners are open; if their requests were refused at once, so would be their one or
// two retries.
type startGate struct {
	until time.Time
	ready chan struct{} // closed when there are both

	mu         sync.Mutex
	configured bool
	listed     bool
	waiting    int
}

func newStartGate(started time.Time) *startGate {
	return &startGate{until: started.Add(startHold), ready: make(chan struct{})}
}

// hasConfiguration notes that a configuration is in force.
func (s *startGate) hasConfiguration() { s.note(&s.configured) }

// hasEndpoints notes that endpoints are listed.
func (s *startGate) hasEndpoints() { s.note(&s.listed) }

func (s *startGate) note(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := s.configured && s.listed
	*flag = true
	if !complete && s.configured && s.listed {
		close(s.ready)
	}
}

// wait returns when a request can be served, or is to be refused.
func (s *startGate) wait(ctx context.Context, now time.Time) {
	select {
	case <-s.ready:
		return
	default:
	}
	if !now.Before(s.until) || !s.enter() {
		return
	}
	defer s.leave()
	late := time.NewTimer(s.until.Sub(now))
	defer late.Stop()
	select {
	case <-s.ready:
	case <-late.C:
	case <-ctx.Done():
	}
}

// enter reports whether one more request may wait, and counts it.
func (s *startGate) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= maxWaiting {
		return false
	}
	s.waiting++
	return true
}

func (s *startGate) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}
