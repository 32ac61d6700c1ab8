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

// minStaleAfter is how long a daemon's loads count after its last report where
// reports come often: its requests go on for longer than a report that is late.
const minStaleAfter = time.Second

// staleAfter is how long a daemon's loads count after its last report: two reports
// and a half are missing then.
func (h *Hub) staleAfter() time.Duration { return max(minStaleAfter, 5*h.interval/2) }

// maxCacheAge is how long a sum is used again: reports come some hundred times a
// second in a large fleet, and what they tell is a quarter of a second old.
const maxCacheAge = 50 * time.Millisecond

// maxCountedGap is the silence after which nothing of what a daemon spent meanwhile is
// counted: this daemon was no hub for a while, and limits are judged over about
// eight seconds.
const maxCountedGap = 10 * time.Second

// Hub sums the parts of all daemons, which tell it themselves or through other
// hubs. It is a plain decision and not safe for
// concurrent use. Parts of daemons that are gone stay in the totals.
type Hub struct {
	daemons map[fleet.DaemonID]*daemonState
	// relayed are the parts of daemons that tell this hub and that it relayed.
	relayed   map[fleet.DaemonID]*daemonState
	cursor    Cursor
	spent     map[fleet.WorkspaceID]float64 // by all, those that were forgotten among them
	loadTotal *loadTotal                    // of loads, the last one, nil before
	expiredAt time.Time                     // when silent daemons were last looked for
	skew      *skew                         // the last one, nil before
	// interval is how often a daemon that has nothing urgent to tell reports.
	interval time.Duration
}

// daemonState is a daemon's last part.
type daemonState struct {
	report     Report
	receivedAt time.Time     // by the hub's clock
	skew       time.Duration // its time of day less the hub's steady count
	// base is what it had spent when it was first heard of: a hub's sum counts
	// from there, so that it doesn't jump when a hub that has just started
	// hears of one daemon after the other.
	base map[fleet.WorkspaceID]float64
	// restored says that only the windows of usage are known.
	restored bool
	// direct says that the daemon told this hub, not another one that relayed it.
	direct bool
	// cursor is the hub's when the part came, windowsCursor when its windows of usage did, and
	// changed when each workspace's spending was last another; nil: all of it is.
	cursor, windowsCursor Cursor
	changeCursors         map[fleet.WorkspaceID]Cursor
}

// Cursor counts the parts that a hub has taken.
type Cursor uint64

// spent returns what was spent since the daemon was first heard of.
func (h *daemonState) spent(w fleet.WorkspaceID) float64 { return h.report.Soft.Spent[w] - h.base[w] }

// expireAfter is how long the part of a silent daemon is kept: its windows of
// usage are due for a while after its death.
const expireAfter = 40 * time.Second

// NewHub returns an empty hub that is told at an interval.
func NewHub(interval time.Duration) *Hub {
	return &Hub{
		daemons: map[fleet.DaemonID]*daemonState{}, relayed: map[fleet.DaemonID]*daemonState{},
		spent: map[fleet.WorkspaceID]float64{}, interval: interval,
	}
}

// SetInterval takes a changed interval of reports.
func (h *Hub) SetInterval(d time.Duration) { h.interval = d }

// Add takes a part that came when the hub's steady count was steady. One without
// windows leaves those that are known as they are.
func (h *Hub) Add(now time.Time, steady time.Duration, p Report) { h.add(now, steady, p, true) }

// AddRelayed takes a part that came through another hub. One that is no newer than
// what is known is left.
func (h *Hub) AddRelayed(now time.Time, steady time.Duration, r *RelayedReport) {
	old := h.daemons[r.Daemon]
	if old != nil && (r.Seq == 0 && old.direct || r.Seq != 0 && r.Seq <= old.report.Seq) {
		return
	}
	p := r.Report
	if old != nil && r.ChangedOnly {
		p.Soft.Spent = maps.Clone(old.report.Soft.Spent)
		maps.Copy(p.Soft.Spent, r.Soft.Spent)
	}
	h.add(now.Add(-r.Age), steady-r.Age, p, false)
}

func (h *Hub) add(at time.Time, steady time.Duration, p Report, direct bool) {
	p.Relayed = nil
	h.cursor++
	next := &daemonState{
		report: p, receivedAt: at, skew: time.Duration(p.WallTime.UnixNano()) - steady, base: p.Soft.Spent,
		direct: direct, cursor: h.cursor, windowsCursor: h.cursor,
	}
	if p.Soft.JustStarted {
		next.base = nil
	}
	old, moved := h.daemons[p.Daemon], false
	if old != nil {
		if len(p.Windows) == 0 {
			next.report.Windows, next.windowsCursor = old.report.Windows, old.windowsCursor
		}
		next.base, moved = old.rebase(at.Sub(old.receivedAt), h.interval, p.Soft.Spent)
		if direct {
			next.changeCursors = old.updateChanged(h.cursor, &p)
		}
	}
	h.updateSpent(old, next, moved)
	h.daemons[p.Daemon] = next
	delete(h.relayed, p.Daemon)
	if direct && !p.Backup && !p.IsHub {
		h.relayed[p.Daemon] = next
	}
}

// updateChanged returns when each workspace's spending changed, once a newer part has come.
// All of it counts as changed where this hub relays the daemon from now on: another
// hub may have died with a change that it had not relayed.
func (h *daemonState) updateChanged(turn Cursor, p *Report) map[fleet.WorkspaceID]Cursor {
	if !h.direct || h.report.Backup && !p.Backup {
		return nil
	}
	out := h.changeCursors
	if out == nil {
		out = make(map[fleet.WorkspaceID]Cursor, len(p.Soft.Spent))
		for w := range h.report.Soft.Spent {
			out[w] = h.cursor
		}
	}
	for w, v := range p.Soft.Spent {
		if old, ok := h.report.Soft.Spent[w]; !ok || old != v {
			out[w] = turn
		}
	}
	return out
}

// Cursor returns the hub's turn, up to which a relay has all that was told.
func (h *Hub) Cursor() Cursor { return h.cursor }

// ReportsToRelay returns the parts that daemons have told this hub since a turn, of those that
// no other hub relays; since 0 it is all. Of their spending it has what has changed
// since. Windows are those of parts that have told theirs since counted.
func (h *Hub) ReportsToRelay(now time.Time, since, counted Cursor) []RelayedReport {
	var out []RelayedReport
	for _, p := range h.relayed {
		if p.cursor <= since {
			continue
		}
		r := RelayedReport{Report: p.report, Age: now.Sub(p.receivedAt), ChangedOnly: since > 0 && p.changeCursors != nil}
		if r.ChangedOnly {
			r.Soft.Spent = p.spentSince(since)
		}
		if p.windowsCursor <= counted {
			r.Windows = nil
		}
		out = append(out, r)
	}
	return out
}

// IsRelaying reports whether this hub was told something lately that it relays.
func (h *Hub) IsRelaying(now time.Time) bool {
	for _, p := range h.relayed {
		if now.Sub(p.receivedAt) <= h.staleAfter() {
			return true
		}
	}
	return false
}

// spentSince returns the spending that has changed since a turn.
func (h *daemonState) spentSince(since Cursor) map[fleet.WorkspaceID]float64 {
	out := map[fleet.WorkspaceID]float64{}
	for w, v := range h.report.Soft.Spent {
		if turn, ok := h.changeCursors[w]; !ok || turn > since {
			out[w] = v
		}
	}
	return out
}

// updateSpent brings the total of spending up to date with a daemon's next part. moved says
// that the part counts from another base than the one before.
func (h *Hub) updateSpent(old, next *daemonState, moved bool) {
	if old != nil && (moved || len(next.report.Soft.Spent) < len(old.report.Soft.Spent)) {
		for w := range old.report.Soft.Spent {
			h.spent[w] -= old.spent(w)
		}
		old = nil
	}
	for w, v := range next.report.Soft.Spent {
		if old == nil {
			h.spent[w] += next.spent(w)
			continue
		}
		before, known := old.report.Soft.Spent[w]
		switch {
		case !known:
			h.spent[w] += next.spent(w)
		case before != v:
			h.spent[w] += v - before
		}
	}
}

// removeExpired lets the parts of daemons go that have been silent for long. What they
// spent stays in the total.
func (h *Hub) removeExpired(now time.Time) {
	for id, old := range h.daemons {
		if now.Sub(old.receivedAt) > expireAfter {
			delete(h.daemons, id)
			delete(h.relayed, id)
		}
	}
}

// rebase returns the base of the next part, which comes after a silence. What a
// daemon lets in while it isn't heard is its own share, for which the others
// left room: only what it let in at the beginning is counted.
func (h *daemonState) rebase(silence, interval time.Duration, spent map[fleet.WorkspaceID]float64) (map[fleet.WorkspaceID]float64, bool) {
	counts := quota.CountedShare(silence, interval)
	if h.restored || silence > maxCountedGap {
		counts = 0
	}
	if counts == 1 {
		return h.base, false
	}
	base := make(map[fleet.WorkspaceID]float64, len(spent))
	for w, v := range spent {
		base[w] = v - h.spent(w) - counts*(v-h.report.Soft.Spent[w])
	}
	return base, true
}

// Spent returns what all daemons but one have let in.
func (h *Hub) Spent(now time.Time, but fleet.DaemonID) map[fleet.WorkspaceID]float64 {
	h.maybeRemoveExpired(now)
	out := maps.Clone(h.spent)
	if own := h.daemons[but]; own != nil {
		for w := range own.report.Soft.Spent {
			out[w] -= own.spent(w)
		}
	}
	return out
}

// Loads returns the endpoints' loads for one daemon, as of sumAge ago at the
// most.
func (h *Hub) Loads(now time.Time, to fleet.DaemonID) *Loads {
	if h.loadTotal == nil || now.Sub(h.loadTotal.at) > maxCacheAge || now.Before(h.loadTotal.at) {
		h.loadTotal = h.sumLoads(now)
	}
	return h.loadTotal.loadsFor(to)
}

// maybeRemoveExpired forgets silent daemons now and then: their parts are kept for much longer.
func (h *Hub) maybeRemoveExpired(now time.Time) {
	if now.Sub(h.expiredAt) >= time.Second || now.Before(h.expiredAt) {
		h.expiredAt = now
		h.removeExpired(now)
	}
}

// sumLoads adds up the loads of all daemons that were heard of lately.
func (h *Hub) sumLoads(now time.Time) *loadTotal {
	t := &loadTotal{at: now, all: balance.Loads{}, byDaemon: make(map[fleet.DaemonID]balance.Loads, len(h.daemons))}
	for id, p := range h.daemons {
		if now.Sub(p.receivedAt) > h.staleAfter() {
			continue
		}
		t.byDaemon[id] = p.report.Soft.Load
		for e, l := range p.report.Soft.Load {
			sum := t.all[e]
			t.all[e] = balance.Load{Requests: sum.Requests + l.Requests, PendingPrefill: sum.PendingPrefill + l.PendingPrefill}
		}
	}
	return t
}

// Work returns the fleet's totals by service. They shrink when a daemon is
// forgotten.
func (h *Hub) Work() map[string]relay.Work {
	out := map[string]relay.Work{}
	for _, p := range h.daemons {
		for s, w := range p.report.Soft.Work {
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

// RequestCounts returns the requests that began in a window, at all daemons.
func (h *Hub) RequestCounts(window uint64) RequestCounts {
	out := RequestCounts{}
	for _, p := range h.daemons {
		for w, n := range p.report.Windows[window] {
			out[w] += n
		}
	}
	return out
}

// ReceivedFromAll reports whether all of some daemons have reported since a time.
func (h *Hub) ReceivedFromAll(since time.Time, daemons []fleet.DaemonID) bool {
	for _, id := range daemons {
		if p := h.daemons[id]; p == nil || !p.receivedAt.After(since) {
			return false
		}
	}
	return true
}

// Skew returns what to add to the hub's steady count for the fleet's time, as of sumAge
// ago at the most: the median of the daemons heard of lately, so that steps of fewer
// than half of the clocks don't move it.
func (h *Hub) Skew(now time.Time) (time.Duration, bool) {
	if h.skew == nil || now.Sub(h.skew.at) > maxCacheAge || now.Before(h.skew.at) {
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
	for _, p := range h.daemons {
		if now.Sub(p.receivedAt) <= h.staleAfter() {
			all = append(all, p.skew)
		}
	}
	if len(all) == 0 {
		return &skew{at: now}
	}
	slices.Sort(all)
	return &skew{at: now, median: all[len(all)/2], known: true}
}
