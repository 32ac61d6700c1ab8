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

// minStaleAfter is the least of staleAfter, for short intervals: requests last longer than
// a report is usually late, so their load must not be dropped for a late report.
const minStaleAfter = time.Second

// staleAfter returns how long a daemon's loads count after its last report: two and a half
// intervals.
func (h *Hub) staleAfter() time.Duration { return max(minStaleAfter, 5*h.interval/2) }

// maxCacheAge is how long a computed sum is reused. A hub of a large fleet gets some
// hundred reports a second, whose content is a quarter of a second old.
const maxCacheAge = 50 * time.Millisecond

// maxCountedGap is the longest gap between two reports of a daemon in which its spending
// counts. After a longer one, the hub's state is outdated, since it was not the daemon's
// hub for a while, and limits apply over about eight seconds.
const maxCountedGap = 10 * time.Second

// Hub sums the reports of all daemons, received directly or relayed by other hubs. What
// daemons have spent stays in the total when they are gone. A Hub is plain state, not safe
// for concurrent use.
type Hub struct {
	daemons map[fleet.DaemonID]*daemonState
	// relaying are the daemons whose reports this hub relays.
	relaying    map[fleet.DaemonID]*daemonState
	cursor      Cursor
	spent       map[fleet.WorkspaceID]float64 // by all daemons, including removed ones
	demands     *demandTotals
	loadTotal   *loadTotal  // cached; nil before the first use
	speedTotal  *speedTotal // likewise
	lastRemoval time.Time   // when expired daemons were last removed
	skew        *skew       // cached; nil before the first use
	// interval is the time between two reports of a daemon without urgent changes.
	interval time.Duration
}

// daemonState is the last report of a daemon.
type daemonState struct {
	report     Report
	receivedAt time.Time     // by the hub's clock
	skew       time.Duration // the daemon's wall-clock time minus the hub's monotonic time
	// base is the spending that doesn't count, which is that of the daemon's first report
	// unless the daemon has just started. Otherwise, the sum of a hub that has just
	// started would jump with the first report of each daemon.
	base map[fleet.WorkspaceID]float64
	// restored means that the report comes from a checkpoint, with usage windows only.
	restored bool
	// direct means that the daemon sent the report to this hub, not through another one.
	direct bool
	// The hub's cursor at the time of the report, at the time of its usage windows, and at
	// the last change of each workspace's spending. If changeCursors is nil, all spending
	// counts as changed.
	cursor, windowsCursor Cursor
	changeCursors         map[fleet.WorkspaceID]Cursor
	// speedsAt and speedsCursor are the time and the cursor of the report that had the
	// observations of speeds; speedsSentAt is when the daemon was last sent the sums.
	speedsAt, speedsSentAt time.Time
	speedsCursor           Cursor
	// demands are those reported so far; nil if there were none.
	demands map[demandKey]*daemonDemand
}

// Cursor is the number of reports that a hub has added. It identifies a point in their
// sequence.
type Cursor uint64

// spent returns what counts of a workspace's spending, in the unit of its limit.
func (d *daemonState) spent(w fleet.WorkspaceID) float64 { return d.report.Soft.Spent[w] - d.base[w] }

// expireAfter is how long the state of a daemon is kept after its last report. Its usage
// windows are still needed for a while after it has died.
const expireAfter = 40 * time.Second

// NewHub returns a hub without reports. interval is the time between two reports of a
// daemon without urgent changes.
func NewHub(interval time.Duration) *Hub {
	return &Hub{
		daemons: map[fleet.DaemonID]*daemonState{}, relaying: map[fleet.DaemonID]*daemonState{},
		spent: map[fleet.WorkspaceID]float64{}, demands: newDemandTotals(), interval: interval,
	}
}

// SetInterval changes the interval of reports.
func (h *Hub) SetInterval(d time.Duration) { h.interval = d }

// Add adds a report that was received directly, at a monotonic time of the hub. It replaces
// the daemon's last report, except for the usage windows if it has none.
func (h *Hub) Add(now time.Time, monotonic time.Duration, r Report) { h.add(now, monotonic, r, true) }

// AddRelayed adds a report that another hub has relayed. It ignores a report that is no
// newer than the last one from that daemon.
func (h *Hub) AddRelayed(now time.Time, monotonic time.Duration, r *RelayedReport) {
	old := h.daemons[r.Daemon]
	if old != nil && (r.Seq == 0 && old.direct || r.Seq != 0 && r.Seq <= old.report.Seq) {
		return
	}
	report := r.Report
	if old != nil && r.ChangedOnly {
		report.Soft.Spent = maps.Clone(old.report.Soft.Spent)
		maps.Copy(report.Soft.Spent, r.Soft.Spent)
	}
	h.add(now.Add(-r.Age), monotonic-r.Age, report, false)
}

func (h *Hub) add(at time.Time, monotonic time.Duration, r Report, direct bool) {
	r.Relayed = nil
	h.cursor++
	next := &daemonState{
		report: r, receivedAt: at, skew: time.Duration(r.WallTime.UnixNano()) - monotonic, base: r.Soft.Spent,
		direct: direct, cursor: h.cursor, windowsCursor: h.cursor, speedsAt: at, speedsCursor: h.cursor,
	}
	if r.Soft.JustStarted {
		next.base = nil
	}
	old, rebased := h.daemons[r.Daemon], false
	if old != nil {
		if len(r.Windows) == 0 {
			next.report.Windows, next.windowsCursor = old.report.Windows, old.windowsCursor
		}
		next.takeSpeeds(old)
		next.base, rebased = old.rebase(at.Sub(old.receivedAt), h.interval, r.Soft.Spent)
		if direct {
			next.changeCursors = old.nextChangeCursors(h.cursor, &r)
		}
	}
	h.updateSpent(old, next, rebased)
	h.updateDemands(at, old, next)
	h.daemons[r.Daemon] = next
	delete(h.relaying, r.Daemon)
	if direct && !r.Backup && !r.IsHub {
		h.relaying[r.Daemon] = next
	}
}

// nextChangeCursors returns the cursors of the last changes of each workspace's spending,
// given a newer report. The result is nil, so that all spending counts as changed, if this hub
// starts to relay the daemon's reports: another hub may have failed before it relayed a
// change.
func (d *daemonState) nextChangeCursors(cursor Cursor, r *Report) map[fleet.WorkspaceID]Cursor {
	if !d.direct || d.report.Backup && !r.Backup {
		return nil
	}
	out := d.changeCursors
	if out == nil {
		out = make(map[fleet.WorkspaceID]Cursor, len(r.Soft.Spent))
		for w := range d.report.Soft.Spent {
			out[w] = d.cursor
		}
	}
	for w, v := range r.Soft.Spent {
		if old, ok := d.report.Soft.Spent[w]; !ok || old != v {
			out[w] = cursor
		}
	}
	return out
}

// Cursor returns the cursor after the last report that was added. A relay made now has all
// reports up to it.
func (h *Hub) Cursor() Cursor { return h.cursor }

// ReportsToRelay returns the reports received after the cursor since, of the daemons whose
// reports this hub relays. They have only the spending that has changed after that cursor,
// or all of it if since is 0, and the usage windows if these were received after
// windowsSince.
func (h *Hub) ReportsToRelay(now time.Time, since, windowsSince Cursor) []RelayedReport {
	var out []RelayedReport
	for _, d := range h.relaying {
		if d.cursor <= since {
			continue
		}
		r := RelayedReport{Report: d.report, Age: now.Sub(d.receivedAt), ChangedOnly: since > 0 && d.changeCursors != nil}
		if r.ChangedOnly {
			r.Soft.Spent = d.spentSince(since)
			r.Soft.Demands = d.demandsSince(since)
		}
		r.Soft.Speeds = d.speedsSince(since)
		if d.windowsCursor <= windowsSince {
			r.Windows = nil
		}
		out = append(out, r)
	}
	return out
}

// IsRelaying reports whether this hub has a recent report that it relays.
func (h *Hub) IsRelaying(now time.Time) bool {
	for _, d := range h.relaying {
		if now.Sub(d.receivedAt) <= h.staleAfter() {
			return true
		}
	}
	return false
}

// spentSince returns the spending that has changed after a cursor.
func (d *daemonState) spentSince(since Cursor) map[fleet.WorkspaceID]float64 {
	out := map[fleet.WorkspaceID]float64{}
	for w, v := range d.report.Soft.Spent {
		if cursor, ok := d.changeCursors[w]; !ok || cursor > since {
			out[w] = v
		}
	}
	return out
}

// updateSpent updates the total spending with a daemon's next report. rebased means that
// the base of this report differs from that of the old one.
func (h *Hub) updateSpent(old, next *daemonState, rebased bool) {
	if old != nil && (rebased || len(next.report.Soft.Spent) < len(old.report.Soft.Spent)) {
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

// removeExpired removes daemons without a report for expireAfter. Their spending stays in
// the total.
func (h *Hub) removeExpired(now time.Time) {
	for id, d := range h.daemons {
		if now.Sub(d.receivedAt) > expireAfter {
			delete(h.daemons, id)
			delete(h.relaying, id)
		}
	}
	h.removeExpiredDemands(now)
}

// rebase returns the base of the next report after a gap, and whether it differs from the
// last one. During a gap a daemon admits only its own share of a limit, which the others
// leave unused, so only the spending at the beginning of the gap counts.
func (d *daemonState) rebase(gap, interval time.Duration, spent map[fleet.WorkspaceID]float64) (map[fleet.WorkspaceID]float64, bool) {
	countedShare := quota.CountedShare(gap, interval)
	if d.restored || gap > maxCountedGap {
		countedShare = 0
	}
	if countedShare == 1 {
		return d.base, false
	}
	base := make(map[fleet.WorkspaceID]float64, len(spent))
	for w, v := range spent {
		base[w] = v - d.spent(w) - countedShare*(v-d.report.Soft.Spent[w])
	}
	return base, true
}

// Spent returns what all daemons but one have spent, by workspace, in the unit of its
// limit.
func (h *Hub) Spent(now time.Time, except fleet.DaemonID) map[fleet.WorkspaceID]float64 {
	h.maybeRemoveExpired(now)
	out := maps.Clone(h.spent)
	if own := h.daemons[except]; own != nil {
		for w := range own.report.Soft.Spent {
			out[w] -= own.spent(w)
		}
	}
	return out
}

// Loads returns the endpoints' loads for the reply to one daemon. They may be up to
// maxCacheAge old.
func (h *Hub) Loads(now time.Time, to fleet.DaemonID) *Loads {
	if h.loadTotal == nil || now.Sub(h.loadTotal.at) > maxCacheAge || now.Before(h.loadTotal.at) {
		h.loadTotal = h.sumLoads(now)
	}
	return h.loadTotal.loadsFor(to)
}

// maybeRemoveExpired removes expired daemons at most once a second.
func (h *Hub) maybeRemoveExpired(now time.Time) {
	if now.Sub(h.lastRemoval) >= time.Second || now.Before(h.lastRemoval) {
		h.lastRemoval = now
		h.removeExpired(now)
	}
}

// sumLoads sums the loads of all daemons whose last report isn't stale.
func (h *Hub) sumLoads(now time.Time) *loadTotal {
	t := &loadTotal{at: now, all: balance.Loads{}, byDaemon: make(map[fleet.DaemonID]balance.Loads, len(h.daemons))}
	for id, d := range h.daemons {
		if now.Sub(d.receivedAt) > h.staleAfter() {
			continue
		}
		t.byDaemon[id] = d.report.Soft.Load
		for e, l := range d.report.Soft.Load {
			sum := t.all[e]
			t.all[e] = balance.Load{Requests: sum.Requests + l.Requests, PendingPrefill: sum.PendingPrefill + l.PendingPrefill}
		}
	}
	return t
}

// Work returns the fleet's totals by service. They decrease when an expired daemon is
// removed.
func (h *Hub) Work() map[string]relay.Work {
	out := map[string]relay.Work{}
	for _, d := range h.daemons {
		for s, w := range d.report.Soft.Work {
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

// RequestCounts returns the number of requests started in a usage window at all daemons.
func (h *Hub) RequestCounts(window uint64) RequestCounts {
	out := RequestCounts{}
	for _, d := range h.daemons {
		for w, n := range d.report.Windows[window] {
			out[w] += n
		}
	}
	return out
}

// ReceivedFromAll reports whether the hub has received a report from each of the daemons
// after a time.
func (h *Hub) ReceivedFromAll(since time.Time, daemons []fleet.DaemonID) bool {
	for _, id := range daemons {
		if d := h.daemons[id]; d == nil || !d.receivedAt.After(since) {
			return false
		}
	}
	return true
}

// Skew returns the difference between the fleet's time and the hub's monotonic time, and
// whether it is known. It is the median over all daemons whose last report isn't stale, so
// that steps of fewer than half of the clocks don't change it. It may be up to maxCacheAge
// old.
func (h *Hub) Skew(now time.Time) (time.Duration, bool) {
	if h.skew == nil || now.Sub(h.skew.at) > maxCacheAge || now.Before(h.skew.at) {
		h.skew = h.medianSkew(now)
	}
	return h.skew.median, h.skew.known
}

// skew is the median difference between the daemons' wall-clock times and the hub's
// monotonic time.
type skew struct {
	at     time.Time
	median time.Duration
	known  bool
}

func (h *Hub) medianSkew(now time.Time) *skew {
	var all []time.Duration
	for _, d := range h.daemons {
		if now.Sub(d.receivedAt) <= h.staleAfter() {
			all = append(all, d.skew)
		}
	}
	if len(all) == 0 {
		return &skew{at: now}
	}
	slices.Sort(all)
	return &skew{at: now, median: all[len(all)/2], known: true}
}
