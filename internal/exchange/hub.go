package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// leastSilence is how long a daemon's loads count after its last report where
// reports come often: its requests go on for longer than a report that is late.
const leastSilence = time.Second

// silence is how long a daemon's loads count after its last report: two reports
// and a half are missing then. Failure: the time is fixed, and the reports of a
// large fleet come more seldom. Symptom: the loads of a living daemon are missing
// for part of the time, and the others send to endpoints that are full.
func (h *Hub) silence() time.Duration { return max(leastSilence, 5*h.interval/2) }

// sumAge is how long a sum is used again: reports come some hundred times a
// second in a large fleet, and what they tell is a quarter of a second old.
const sumAge = 50 * time.Millisecond

// gap is the silence after which nothing of what a daemon spent meanwhile is
// counted: this daemon was no hub for a while, and limits are judged over about
// eight seconds.
const gap = 10 * time.Second

// Hub sums the parts of all daemons. It is a plain decision and not safe for
// concurrent use. Parts of daemons that are gone stay in the totals.
type Hub struct {
	parts map[fleet.DaemonID]*heard
	gone  map[fleet.WorkspaceID]float64 // spent by daemons that were forgotten
	sum   *total                        // the last one, nil before
	// interval is how often a daemon that has nothing urgent to tell reports.
	interval time.Duration
}

// heard is a daemon's last part.
type heard struct {
	part Part
	at   time.Time     // by the hub's clock
	skew time.Duration // its time of day less the hub's steady count
	// base is what it had spent when it was first heard of: a hub's sum counts
	// from there, so that it doesn't jump when a hub that has just started
	// hears of one daemon after the other.
	base map[fleet.WorkspaceID]float64
	// restored says that only the windows of usage are known.
	restored bool
}

// spent returns what was spent since the daemon was first heard of.
func (h *heard) spent(w fleet.WorkspaceID) float64 { return h.part.Soft.Spent[w] - h.base[w] }

// forgetAfter is how long the part of a silent daemon is kept: its windows of
// usage are due for a while after its death.
const forgetAfter = 40 * time.Second

// NewHub returns an empty hub that is told at an interval.
func NewHub(interval time.Duration) *Hub {
	return &Hub{parts: map[fleet.DaemonID]*heard{}, gone: map[fleet.WorkspaceID]float64{}, interval: interval}
}

// SetInterval takes a changed interval of reports.
func (h *Hub) SetInterval(d time.Duration) { h.interval = d }

// Take takes a part that came when the hub's steady count was steady. One without
// windows leaves those that are known as they are.
func (h *Hub) Take(now time.Time, steady time.Duration, p Part) {
	skew := time.Duration(p.Wall.UnixNano()) - steady
	base := p.Soft.Spent
	if p.Soft.Recent {
		base = nil
	}
	if old := h.parts[p.Daemon]; old != nil {
		if len(p.Windows) == 0 {
			p.Windows = old.part.Windows
		}
		base = old.moved(now.Sub(old.at), h.interval, p.Soft.Spent)
	}
	h.parts[p.Daemon] = &heard{part: p, at: now, skew: skew, base: base}
}

// forget lets the parts of daemons go that have been silent for long. What they
// spent stays in the total.
func (h *Hub) forget(now time.Time) {
	for id, old := range h.parts {
		if now.Sub(old.at) > forgetAfter {
			for w := range old.part.Soft.Spent {
				h.gone[w] += old.spent(w)
			}
			delete(h.parts, id)
		}
	}
}

// moved returns the base of the next part, which comes after a silence. What a
// daemon lets in while it isn't heard is its own share, for which the others
// left room: only what it let in at the beginning is counted.
func (h *heard) moved(silence, interval time.Duration, spent map[fleet.WorkspaceID]float64) map[fleet.WorkspaceID]float64 {
	counts := quota.Heard(silence, interval)
	if h.restored || silence > gap {
		counts = 0
	}
	if counts == 1 {
		return h.base
	}
	base := make(map[fleet.WorkspaceID]float64, len(spent))
	for w, v := range spent {
		base[w] = v - h.spent(w) - counts*(v-h.part.Soft.Spent[w])
	}
	return base
}

// Spent returns what all daemons but one have let in, as of sumAge ago at the
// most.
func (h *Hub) Spent(now time.Time, but fleet.DaemonID) map[fleet.WorkspaceID]float64 {
	return h.total(now).without(but)
}

// Loads returns the endpoints' loads for one daemon, as of sumAge ago at the
// most.
func (h *Hub) Loads(now time.Time, to fleet.DaemonID) *Loads { return h.total(now).loads(to) }

func (h *Hub) total(now time.Time) *total {
	if h.sum == nil || now.Sub(h.sum.at) > sumAge || now.Before(h.sum.at) {
		h.sum = h.sumUp(now)
	}
	return h.sum
}

// sumUp adds up all parts.
func (h *Hub) sumUp(now time.Time) *total {
	h.forget(now)
	t := &total{
		at: now, spent: maps.Clone(h.gone), load: balance.Loads{},
		parts: make(map[fleet.DaemonID]counted, len(h.parts)),
	}
	for id, p := range h.parts {
		c := counted{heard: p, loads: now.Sub(p.at) <= h.silence()}
		t.parts[id] = c
		for w := range p.part.Soft.Spent {
			t.spent[w] += p.spent(w)
		}
		if !c.loads {
			continue
		}
		for e, l := range p.part.Soft.Load {
			sum := t.load[e]
			t.load[e] = balance.Load{Requests: sum.Requests + l.Requests, Unread: sum.Unread + l.Unread}
		}
	}
	return t
}

// Work returns the fleet's totals by service. They shrink when a daemon is
// forgotten.
func (h *Hub) Work() map[string]relay.Work {
	out := map[string]relay.Work{}
	for _, p := range h.parts {
		for s, w := range p.part.Soft.Work {
			sum := out[s]
			sum.Requests += w.Requests
			sum.Refused += w.Refused
			sum.Hold += w.Hold
			sum.Read += w.Read
			sum.Prompt += w.Prompt
			out[s] = sum
		}
	}
	return out
}

// Begun returns the requests that began in a window, at all daemons.
func (h *Hub) Begun(window uint64) Begun {
	out := Begun{}
	for _, p := range h.parts {
		for w, n := range p.part.Windows[window] {
			out[w] += n
		}
	}
	return out
}

// HeardAll reports whether all of some daemons have reported since a time.
func (h *Hub) HeardAll(since time.Time, daemons []fleet.DaemonID) bool {
	for _, id := range daemons {
		if p := h.parts[id]; p == nil || !p.at.After(since) {
			return false
		}
	}
	return true
}

// Skew returns what to add to the hub's steady count for the fleet's time: the
// median of the daemons heard of lately, so that steps of fewer than half of
// the clocks don't move it.
func (h *Hub) Skew(now time.Time) (time.Duration, bool) {
	var all []time.Duration
	for _, p := range h.parts {
		if now.Sub(p.at) <= h.silence() {
			all = append(all, p.skew)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}
