package node

import (
	"context"
	"sync"
	"time"
)

const (
	// startHold is how long after a daemon's start requests wait for what it has to
	// know before it can serve: a list of the configuration and one of the endpoints
	// are there within two to four tenths of a second, in a fleet of hundreds that
	// starts at once and is told by each other. Later it refuses at once.
	startHold = 800 * time.Millisecond
	// maxWaiting bounds the requests that wait: some megabytes of bodies.
	maxWaiting = 256
)

// startGate lets the requests wait that come before a daemon knows a configuration
// and endpoints. Failure: all daemons are killed and start again, and callers come
// as soon as the listeners are open. Symptom: every request of these moments is
// refused, and the callers' repeats, of which they have one or two, as well.
type startGate struct {
	until time.Time
	ready chan struct{} // closed when both are known

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

func (s *startGate) note(what *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := s.configured && s.listed
	*what = true
	if !complete && s.configured && s.listed {
		close(s.ready)
	}
}

// wait returns when a request can be served, or when it is to be refused.
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

// enter reports whether there is room for one more request that waits.
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
