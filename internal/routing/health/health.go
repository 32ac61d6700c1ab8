// Package health decides when an endpoint stops and starts again to receive
// requests. Silent connections alone never eject: something between the two
// ends may have lost track of them while new ones work (which a probe on a
// new connection shows). Only failing new connections do.
package health

import "time"

// Bounds of ejection.
const (
	// ejectAfter failures of new connections in a row eject: one can be a
	// lost packet or a listener's full backlog.
	ejectAfter = 2
	// minProbeInterval and lastProbe bound the time between probes of an ejected
	// endpoint; it doubles from one to the other, so that a dead one costs a
	// connection every 8 s and a returning one waits no longer than that.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// progressWindow: an endpoint whose streams made progress this recently is
	// alive; failing dials then are the daemon's own trouble (no free ports).
	progressWindow = 2 * time.Second
)

// State is an endpoint's health.
type State uint8

// The states.
const (
	Healthy State = iota
	Suspect       // probed; still in use
	Failing       // new connections fail, but too many of its set are ejected
	Ejected       // receives nothing but probes
)

// MayEject reports whether one more endpoint of a set may be ejected: never
// more than half of those present. When most of a set seems dead, the fault
// is more likely near this daemon, and sending everything to the few that are
// left would bury them.
func MayEject(ejected, present int) bool { return 2*(ejected+1) <= present }

// Tracker is the health of one endpoint. The zero value is healthy. Times are
// nanoseconds of one clock.
type Tracker struct {
	state        State
	failures     uint8 // of new connections, in a row
	lastProgress int64 // last byte received
	probeAt      int64 // when the next probe is due; 0 is none
	backoff      time.Duration
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Usable reports whether the endpoint may receive requests.
func (t *Tracker) Usable() bool { return t.state != Ejected }

// DialsFailing reports whether new connections failed lately.
func (t *Tracker) DialsFailing() bool { return t.failures > 0 || t.state == Failing }

// Progress notes a byte received from the endpoint.
func (t *Tracker) Progress(now int64) { t.lastProgress = now }

// Stalled notes that an open connection stopped making progress. It reports
// whether a probe on a new connection is to be made now.
func (t *Tracker) Stalled(now int64) (probe bool) {
	if t.state != Healthy {
		return false
	}
	t.state = Suspect
	t.schedule(now)
	return true
}

// DialFailed notes that a new connection or a probe failed. mayEject says
// whether the endpoint's sets can spare it. It reports whether the endpoint
// was ejected by this.
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

// Connected notes that a new connection or a probe worked. It reports whether
// the endpoint comes back into use by this.
func (t *Tracker) Connected() (restored bool) {
	restored = t.state == Ejected
	*t = Tracker{lastProgress: t.lastProgress}
	return restored
}

// Reinstate puts an ejected endpoint back because its set became too small to
// spare it.
func (t *Tracker) Reinstate() {
	if t.state == Ejected {
		t.state = Failing
	}
}

// ProbeDue reports whether a probe is to be made now, and plans the next one.
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

// schedule plans the next probe, doubling the wait up to lastProbe.
func (t *Tracker) schedule(now int64) {
	if t.backoff == 0 {
		t.backoff = minProbeInterval / 2
	}
	t.backoff = min(2*t.backoff, maxProbeInterval)
	t.probeAt = now + int64(t.backoff)
}
