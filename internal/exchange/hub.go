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
// and a half are missing then.
func (h *Hub) silence() time.Duration { return max(leastSilence, 5*h.interval/2) }

// sumAge is how long a sum is used again: reports come some hundred times a
// second in a large fleet, and what they tell is a quarter of a second old.
const sumAge = 50 * time.Millisecond

// gap is the silence after which nothing of what a daemon spent meanwhile is
// counted: this daemon was no hub for a while, and limits are judged over about
// eight seconds.
const gap = 10 * time.Second

// Hub sums the parts of all daemons, which tell it themselves or through other
// hubs. It is a plain decision and not safe for
// concurrent use. Parts of daemons that are gone stay in the totals.
type Hub struct {
	parts map[fleet.DaemonID]*heard
	// relays are the parts of daemons that tell this hub and that it relays.
	relays map[fleet.DaemonID]*heard
	turn   Turn
	spent  map[fleet.WorkspaceID]float64 // by all, those that were forgotten among them
	sum    *total                        // of loads, the last one, nil before
	forgot time.Time                     // when silent daemons were last looked for
	skew   *skew                         // the last one, nil before
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
	// direct says that the daemon told this hub, not another one that relayed it.
	direct bool
	// turn is the hub's when the part came, counted when its windows of usage did, and
	// changed when each workspace's spending was last another; nil: all of it is.
	turn, counted Turn
	changed       map[fleet.WorkspaceID]Turn
}

// Turn counts the parts that a hub has taken.
type Turn uint64

// spent returns what was spent since the daemon was first heard of.
func (h *heard) spent(w fleet.WorkspaceID) float64 { return h.part.Soft.Spent[w] - h.base[w] }

// forgetAfter is how long the part of a silent daemon is kept: its windows of
// usage are due for a while after its death.
const forgetAfter = 40 * time.Second

// NewHub returns an empty hub that is told at an interval.
func NewHub(interval time.Duration) *Hub {
	return &Hub{
		parts: map[fleet.DaemonID]*heard{}, relays: map[fleet.DaemonID]*heard{},
		spent: map[fleet.WorkspaceID]float64{}, interval: interval,
	}
}

// SetInterval takes a changed interval of reports.
func (h *Hub) SetInterval(d time.Duration) { h.interval = d }

// Take takes a part that came when the hub's steady count was steady. One without
// windows leaves those that are known as they are.
func (h *Hub) Take(now time.Time, steady time.Duration, p Part) { h.take(now, steady, p, true) }

// TakeRelayed takes a part that came through another hub. One that is no newer than
// what is known is left.
func (h *Hub) TakeRelayed(now time.Time, steady time.Duration, r *Relayed) {
	old := h.parts[r.Daemon]
	if old != nil && (r.Seq == 0 && old.direct || r.Seq != 0 && r.Seq <= old.part.Seq) {
		return
	}
	p := r.Part
	if old != nil && r.Changes {
		p.Soft.Spent = maps.Clone(old.part.Soft.Spent)
		maps.Copy(p.Soft.Spent, r.Soft.Spent)
	}
	h.take(now.Add(-r.Age), steady-r.Age, p, false)
}

func (h *Hub) take(at time.Time, steady time.Duration, p Part, direct bool) {
	p.Relayed = nil
	h.turn++
	next := &heard{
		part: p, at: at, skew: time.Duration(p.Wall.UnixNano()) - steady, base: p.Soft.Spent,
		direct: direct, turn: h.turn, counted: h.turn,
	}
	if p.Soft.JustStarted {
		next.base = nil
	}
	old, moved := h.parts[p.Daemon], false
	if old != nil {
		if len(p.Windows) == 0 {
			next.part.Windows, next.counted = old.part.Windows, old.counted
		}
		next.base, moved = old.moved(at.Sub(old.at), h.interval, p.Soft.Spent)
		if direct {
			next.changed = old.changes(h.turn, &p)
		}
	}
	h.count(old, next, moved)
	h.parts[p.Daemon] = next
	delete(h.relays, p.Daemon)
	if direct && !p.Spare && !p.Hub {
		h.relays[p.Daemon] = next
	}
}

// changes returns when each workspace's spending changed, once a newer part has come.
// All of it counts as changed where this hub relays the daemon from now on: another
// hub may have died with a change that it had not relayed.
func (h *heard) changes(turn Turn, p *Part) map[fleet.WorkspaceID]Turn {
	if !h.direct || h.part.Spare && !p.Spare {
		return nil
	}
	out := h.changed
	if out == nil {
		out = make(map[fleet.WorkspaceID]Turn, len(p.Soft.Spent))
		for w := range h.part.Soft.Spent {
			out[w] = h.turn
		}
	}
	for w, v := range p.Soft.Spent {
		if old, ok := h.part.Soft.Spent[w]; !ok || old != v {
			out[w] = turn
		}
	}
	return out
}

// Turn returns the hub's turn, up to which a relay has all that was told.
func (h *Hub) Turn() Turn { return h.turn }

// Relay returns the parts that daemons have told this hub since a turn, of those that
// no other hub relays; since 0 it is all. Of their spending it has what has changed
// since. Windows are those of parts that have told theirs since counted.
func (h *Hub) Relay(now time.Time, since, counted Turn) []Relayed {
	var out []Relayed
	for _, p := range h.relays {
		if p.turn <= since {
			continue
		}
		r := Relayed{Part: p.part, Age: now.Sub(p.at), Changes: since > 0 && p.changed != nil}
		if r.Changes {
			r.Soft.Spent = p.spentSince(since)
		}
		if p.counted <= counted {
			r.Windows = nil
		}
		out = append(out, r)
	}
	return out
}

// Relays reports whether this hub was told something lately that it relays.
func (h *Hub) Relays(now time.Time) bool {
	for _, p := range h.relays {
		if now.Sub(p.at) <= h.silence() {
			return true
		}
	}
	return false
}

// spentSince returns the spending that has changed since a turn.
func (h *heard) spentSince(since Turn) map[fleet.WorkspaceID]float64 {
	out := map[fleet.WorkspaceID]float64{}
	for w, v := range h.part.Soft.Spent {
		if turn, ok := h.changed[w]; !ok || turn > since {
			out[w] = v
		}
	}
	return out
}

// count brings the total of spending up to date with a daemon's next part. moved says
// that the part counts from another base than the one before.
func (h *Hub) count(old, next *heard, moved bool) {
	if old != nil && (moved || len(next.part.Soft.Spent) < len(old.part.Soft.Spent)) {
		for w := range old.part.Soft.Spent {
			h.spent[w] -= old.spent(w)
		}
		old = nil
	}
	for w, v := range next.part.Soft.Spent {
		if old == nil {
			h.spent[w] += next.spent(w)
			continue
		}
		before, known := old.part.Soft.Spent[w]
		switch {
		case !known:
			h.spent[w] += next.spent(w)
		case before != v:
			h.spent[w] += v - before
		}
	}
}

// forget lets the parts of daemons go that have been silent for long. What they
// spent stays in the total.
func (h *Hub) forget(now time.Time) {
	for id, old := range h.parts {
		if now.Sub(old.at) > forgetAfter {
			delete(h.parts, id)
			delete(h.relays, id)
		}
	}
}

// moved returns the base of the next part, which comes after a silence. What a
// daemon lets in while it isn't heard is its own share, for which the others
// left room: only what it let in at the beginning is counted.
func (h *heard) moved(silence, interval time.Duration, spent map[fleet.WorkspaceID]float64) (map[fleet.WorkspaceID]float64, bool) {
	counts := quota.CountedShare(silence, interval)
	if h.restored || silence > gap {
		counts = 0
	}
	if counts == 1 {
		return h.base, false
	}
	base := make(map[fleet.WorkspaceID]float64, len(spent))
	for w, v := range spent {
		base[w] = v - h.spent(w) - counts*(v-h.part.Soft.Spent[w])
	}
	return base, true
}

// Spent returns what all daemons but one have let in.
func (h *Hub) Spent(now time.Time, but fleet.DaemonID) map[fleet.WorkspaceID]float64 {
	h.forgetOften(now)
	out := maps.Clone(h.spent)
	if own := h.parts[but]; own != nil {
		for w := range own.part.Soft.Spent {
			out[w] -= own.spent(w)
		}
	}
	return out
}

// Loads returns the endpoints' loads for one daemon, as of sumAge ago at the
// most.
func (h *Hub) Loads(now time.Time, to fleet.DaemonID) *Loads {
	if h.sum == nil || now.Sub(h.sum.at) > sumAge || now.Before(h.sum.at) {
		h.sum = h.sumLoads(now)
	}
	return h.sum.loads(to)
}

// forgetOften forgets silent daemons now and then: their parts are kept for much longer.
func (h *Hub) forgetOften(now time.Time) {
	if now.Sub(h.forgot) >= time.Second || now.Before(h.forgot) {
		h.forgot = now
		h.forget(now)
	}
}

// sumLoads adds up the loads of all daemons that were heard of lately.
func (h *Hub) sumLoads(now time.Time) *total {
	t := &total{at: now, load: balance.Loads{}, own: make(map[fleet.DaemonID]balance.Loads, len(h.parts))}
	for id, p := range h.parts {
		if now.Sub(p.at) > h.silence() {
			continue
		}
		t.own[id] = p.part.Soft.Load
		for e, l := range p.part.Soft.Load {
			sum := t.load[e]
			t.load[e] = balance.Load{Requests: sum.Requests + l.Requests, PendingPrefill: sum.PendingPrefill + l.PendingPrefill}
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
			sum.SlotSeconds += w.SlotSeconds
			sum.Prefill += w.Prefill
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

// Skew returns what to add to the hub's steady count for the fleet's time, as of sumAge
// ago at the most: the median of the daemons heard of lately, so that steps of fewer
// than half of the clocks don't move it.
func (h *Hub) Skew(now time.Time) (time.Duration, bool) {
	if h.skew == nil || now.Sub(h.skew.at) > sumAge || now.Before(h.skew.at) {
		h.skew = h.medianSkew(now)
	}
	return h.skew.median, h.skew.known
}

// skew is the fleet's time less the hub's steady count, at a moment.
type skew struct {
	at     time.Time
	median time.Duration
	known  bool
}

func (h *Hub) medianSkew(now time.Time) *skew {
	var all []time.Duration
	for _, p := range h.parts {
		if now.Sub(p.at) <= h.silence() {
			all = append(all, p.skew)
		}
	}
	if len(all) == 0 {
		return &skew{at: now}
	}
	slices.Sort(all)
	return &skew{at: now, median: all[len(all)/2], known: true}
}
