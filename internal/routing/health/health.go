// Package health decides when an endpoint is ejected, so that it receives no
// requests, and when it is restored. A stalled connection alone never ejects: a
// network device between the two ends may have lost the connection's state while
// new connections work, which a probe on a new connection shows. Only failures of
// new connections eject.
package health

import "time"

// Bounds of ejection.
const (
	// ejectAfter is the number of consecutive failures of new connections that
	// eject. A single one can be a lost packet or a listener's full backlog.
	ejectAfter = 2
	// minProbeInterval and maxProbeInterval bound the exponential backoff
	// between probes: a dead endpoint costs one connection every 8 s, and one
	// that recovers waits no longer than that.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// progressWindow is how long after its last progress an endpoint counts as
	// alive. Failures of new connections are then due to this daemon, such as
	// a lack of free ports.
	progressWindow = 2 * time.Second
)

// State is an endpoint's health.
type State uint8

// States of an endpoint.
const (
	Healthy State = iota
	Suspect       // a connection stalled or failed; probed, and still receives requests
	Failing       // new connections fail, but ejection is not allowed; still receives requests
	Ejected       // receives only probes
)

// MayEject reports whether one more endpoint of a set may be ejected: at most
// half of those present. If most of a set seems unreachable, the fault is more
// likely near this daemon, and sending all requests to the few that are left
// would overload them.
func MayEject(ejected, present int) bool { return 2*(ejected+1) <= present }

// Tracker is the health of one endpoint. The zero value is healthy. Times are
// nanoseconds of one clock.
type Tracker struct {
	state        State
	failures     uint8 // consecutive ones of new connections
	lastProgress int64 // when the last data was received
	probeAt      int64 // when the next probe is due; 0 means none
	backoff      time.Duration
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Usable reports whether the endpoint may receive requests.
func (t *Tracker) Usable() bool { return t.state != Ejected }

// DialsFailing reports whether the latest new connection failed.
func (t *Tracker) DialsFailing() bool { return t.failures > 0 || t.state == Failing }

// Progress records that data was received from the endpoint.
func (t *Tracker) Progress(now int64) { t.lastProgress = now }

// Stalled records that an open connection stopped making progress. It reports
// whether a probe on a new connection must be made now.
func (t *Tracker) Stalled(now int64) (probe bool) {
	if t.state != Healthy {
		return false
	}
	t.state = Suspect
	t.schedule(now)
	return true
}

// DialFailed records that a new connection or a probe failed. mayEject is whether
// the endpoint may be ejected from all of its sets. DialFailed reports whether it
// ejected the endpoint.
func (t *Tracker) DialFailed(now int64, mayEject bool) (ejected bool) {
	t.failures = min(t.failures+1, ejectAfter)
	t.schedule(now)
	if t.state == Ejected {
		return false
	}
	t.state = max(t.state, Suspect)
	if t.failures < ejectAfter || t.progressing(now) {
		return false
	}
	if !mayEject {
		t.state = Failing
		return false
	}
	t.state = Ejected
	return true
}

// Connected records that a new connection or a probe succeeded. It reports
// whether it restored the endpoint.
func (t *Tracker) Connected() (restored bool) {
	restored = t.state == Ejected
	*t = Tracker{lastProgress: t.lastProgress}
	return restored
}

// Reinstate returns an ejected endpoint to use without a successful probe,
// because too much of its set is ejected.
func (t *Tracker) Reinstate() {
	if t.state == Ejected {
		t.state = Failing
	}
}

// ProbeDue reports whether a probe must be made now, and if so schedules the next
// one.
func (t *Tracker) ProbeDue(now int64) bool {
	if t.probeAt == 0 || now < t.probeAt {
		return false
	}
	t.schedule(now)
	return true
}

func (t *Tracker) progressing(now int64) bool {
	return t.lastProgress != 0 && now-t.lastProgress < int64(progressWindow)
}

// schedule sets the time of the next probe, with exponential backoff up to
// maxProbeInterval.
func (t *Tracker) schedule(now int64) {
	if t.backoff == 0 {
		t.backoff = minProbeInterval / 2
	}
	t.backoff = min(2*t.backoff, maxProbeInterval)
	t.probeAt = now + int64(t.backoff)
}
