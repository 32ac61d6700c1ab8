package reach

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// suspectFailures is the number of endpoints to which connecting must fail, with no
	// success since, until others are probed; if the path to another service is lost, one
	// suffices.
	suspectFailures = 2
	// failureMemory is how long a failure counts.
	failureMemory = 3 * time.Second
	// minProbePause and maxProbePause bound the time between two probes of a service; it
	// doubles with each probe that finds the path in order.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 2 * time.Second
	// confirmations is the number of probes in a row that must find a lost path in order.
	confirmations = 2
	// rampTime is the time in which requests return to a restored path, so that not all
	// connections are opened at once.
	rampTime = 2 * time.Second
)

// Change says that the path to a service was lost or is restored.
type Change uint8

// The values of Change.
const (
	Unchanged Change = iota
	Lost
	Restored
)

// Tracker tracks the paths to all services. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*path
	lost     int // number of services whose path is lost
}

// path is the state of the path to one service.
type path struct {
	failures   map[fleet.EndpointID]time.Time // since the last success
	probedAt   time.Time                      // of the last probe
	probeAt    time.Time                      // the earliest time of the next one
	pause      time.Duration
	suspected  bool // a probe is due
	lost       bool
	confirmed  int       // probes in a row that found the path in order
	restoredAt time.Time // zero: it was never lost
}

// New returns a tracker for which all paths are in order.
func New() *Tracker { return &Tracker{services: map[string]*path{}} }

func (t *Tracker) path(service string) *path {
	p := t.services[service]
	if p == nil {
		p = &path{failures: map[fleet.EndpointID]time.Time{}}
		t.services[service] = p
	}
	return p
}

// Connected records that a new connection to an endpoint was established. Bytes on an open
// connection are no such evidence: it may live on while new ones fail.
func (t *Tracker) Connected(service string) {
	p := t.path(service)
	clear(p.failures)
	if !p.lost {
		p.suspected = false
	}
}

// Failed records that connecting to one of a service's listed endpoints failed.
func (t *Tracker) Failed(now time.Time, service string, e fleet.EndpointID, listed int) {
	p := t.path(service)
	p.failures[e] = now
	recent := 0
	for id, at := range p.failures {
		if now.Sub(at) > failureMemory {
			delete(p.failures, id)
			continue
		}
		recent++
	}
	if recent >= min(suspectFailures, listed) || t.lost > 0 {
		p.suspected = true
		if soon := p.probedAt.Add(minProbePause); soon.Before(p.probeAt) {
			p.probeAt = soon // stronger evidence than silence
		}
	}
}

// Silent records that no endpoint of a service answers though requests wait.
func (t *Tracker) Silent(service string) { t.path(service).suspected = true }

// Due returns the services whose endpoints should be probed now, and counts that as done.
func (t *Tracker) Due(now time.Time) []string {
	var out []string
	for service, p := range t.services {
		if !p.suspected && !p.lost || now.Before(p.probeAt) {
			continue
		}
		p.suspected = false
		p.pause = min(max(2*p.pause, minProbePause), maxProbePause)
		if p.lost {
			p.pause = minProbePause
		}
		p.probedAt, p.probeAt = now, now.Add(p.pause)
		out = append(out, service)
	}
	return out
}

// Probed records a probe of some endpoints of a service, of which some accepted a
// connection.
func (t *Tracker) Probed(now time.Time, service string, accepted, tried int) Change {
	p := t.path(service)
	switch {
	case tried == 0:
		return Unchanged
	case accepted == 0 && !p.lost:
		p.lost, p.confirmed, p.pause = true, 0, 0
		p.probeAt = now.Add(minProbePause)
		t.lost++
		return Lost
	case accepted == 0:
		p.confirmed = 0
		return Unchanged
	case !p.lost:
		return Unchanged
	}
	if p.confirmed++; p.confirmed < confirmations {
		return Unchanged
	}
	p.lost, p.restoredAt, p.pause = false, now, 0
	clear(p.failures)
	t.lost--
	return Restored
}

// Lost reports whether the path to a service is lost.
func (t *Tracker) Lost(service string) bool {
	p := t.services[service]
	return p != nil && p.lost
}

// LostServices returns the services whose path is lost.
func (t *Tracker) LostServices() []string {
	var out []string
	for service, p := range t.services {
		if p.lost {
			out = append(out, service)
		}
	}
	return out
}

// Suspects reports whether any path is lost or may be.
func (t *Tracker) Suspects(now time.Time) bool {
	if t.lost > 0 {
		return true
	}
	for _, p := range t.services {
		if p.suspected {
			return true
		}
		for _, at := range p.failures {
			if now.Sub(at) <= failureMemory {
				return true
			}
		}
	}
	return false
}

// DirectShare returns the share of a service's requests that should use the path: 0 while
// it is lost, and rising to 1 once it is restored.
func (t *Tracker) DirectShare(now time.Time, service string) float64 {
	p := t.services[service]
	switch {
	case p == nil || !p.lost && p.restoredAt.IsZero():
		return 1
	case p.lost:
		return 0
	}
	return min(now.Sub(p.restoredAt).Seconds()/rampTime.Seconds(), 1)
}

// Forget removes the services that aren't listed.
func (t *Tracker) Forget(listed map[string]bool) {
	for service, p := range t.services {
		if !listed[service] {
			if p.lost {
				t.lost--
			}
			delete(t.services, service)
		}
	}
}
