package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

const (
	// demandExpireAfter is how long a demand is kept after the last report of it. Daemons
	// report it only while the workspace's limit is short.
	demandExpireAfter = 4 * time.Second
	// demandRelayInterval is the time after which an unchanged demand that is still reported
	// is relayed again: a hub that removed it would take all of it for new with its next change.
	demandRelayInterval = demandExpireAfter / 2
)

// demandKey identifies the demand of a workspace on a route.
type demandKey struct {
	workspace fleet.WorkspaceID
	route     string
}

// demandAmount is what counts of a demand.
type demandAmount struct{ amount, requests float64 }

// demandTotals is the demand for limits that are short, by all daemons.
type demandTotals struct {
	all        map[demandKey]demandAmount
	reportedAt map[demandKey]time.Time
}

func newDemandTotals() *demandTotals {
	return &demandTotals{all: map[demandKey]demandAmount{}, reportedAt: map[demandKey]time.Time{}}
}

// daemonDemand is a demand that one daemon has reported.
type daemonDemand struct {
	reported quota.Asked
	counted  demandAmount // the part of it in the totals
	cursor   Cursor       // of its last change, or when it was to be relayed again
	cursorAt time.Time    // time of the report with that cursor
}

// increase returns by how much a reported demand exceeds that of the last report. A daemon counts
// from zero again if the limit wasn't short in between.
func (d *daemonDemand) increase(now quota.Asked) demandAmount {
	if now.Amount < d.reported.Amount || now.Requests < d.reported.Requests {
		return demandAmount{now.Amount, float64(now.Requests)}
	}
	return demandAmount{now.Amount - d.reported.Amount, float64(now.Requests - d.reported.Requests)}
}

// updateDemands adds the demands in a daemon's next report to the totals. A demand that the
// report lacks is unchanged. The first report of a daemon is a base for the next ones,
// unless the daemon has just started.
func (h *Hub) updateDemands(at time.Time, old, next *daemonState) {
	share := 0.0
	if old != nil && !old.restored {
		next.demands = old.demands
		share = h.countedDemandShare(at.Sub(old.receivedAt))
	} else if next.report.Soft.JustStarted {
		share = 1
	}
	if len(next.report.Soft.Demands) > 0 && next.demands == nil {
		next.demands = map[demandKey]*daemonDemand{}
	}
	for w, byRoute := range next.report.Soft.Demands {
		for route, reported := range byRoute {
			h.addDemand(at, next, demandKey{w, route}, reported, share)
		}
	}
}

// countedDemandShare returns the part of the demand that counts after a gap between two
// reports, as for spending.
func (h *Hub) countedDemandShare(gap time.Duration) float64 {
	if gap > maxCountedGap {
		return 0
	}
	return quota.CountedShare(gap, h.interval)
}

// addDemand adds a reported demand to the totals. After a gap, one that this hub doesn't know is
// a base for the next reports: it may have begun long before.
func (h *Hub) addDemand(at time.Time, daemon *daemonState, key demandKey, reported quota.Asked, share float64) {
	if at.After(h.demands.reportedAt[key]) {
		h.demands.reportedAt[key] = at
	}
	d := daemon.demands[key]
	if d == nil {
		d = &daemonDemand{cursor: h.cursor, cursorAt: at}
		daemon.demands[key] = d
		if share < 1 {
			d.reported = reported
		}
	}
	if d.reported != reported || at.Sub(d.cursorAt) >= demandRelayInterval {
		d.cursor, d.cursorAt = h.cursor, at
	}
	more := d.increase(reported)
	d.reported = reported
	d.counted.amount += share * more.amount
	d.counted.requests += share * more.requests
	total := h.demands.all[key]
	h.demands.all[key] = demandAmount{total.amount + share*more.amount, total.requests + share*more.requests}
}

// demandsSince returns the demands that have changed after a cursor.
func (d *daemonState) demandsSince(since Cursor) quota.Demands {
	var out quota.Demands
	for w, byRoute := range d.report.Soft.Demands {
		for route, asked := range byRoute {
			if known := d.demands[demandKey{w, route}]; known == nil || known.cursor > since {
				out = out.With(w, route, asked)
			}
		}
	}
	return out
}

// Demands returns what all daemons but one were asked for of the limits that are short; nil
// if none is.
func (h *Hub) Demands(now time.Time, except fleet.DaemonID) quota.Demands {
	h.maybeRemoveExpired(now)
	var out quota.Demands
	own := h.daemons[except]
	for key, total := range h.demands.all {
		if own != nil && own.demands[key] != nil {
			counted := own.demands[key].counted
			total.amount, total.requests = total.amount-counted.amount, total.requests-counted.requests
		}
		asked := quota.Asked{Amount: max(total.amount, 0), Requests: uint64(max(total.requests, 0))}
		out = out.With(key.workspace, key.route, asked)
	}
	return out
}

// removeExpiredDemands removes the demands that no daemon has reported for demandExpireAfter.
func (h *Hub) removeExpiredDemands(now time.Time) {
	for key, at := range h.demands.reportedAt {
		if now.Sub(at) > demandExpireAfter {
			h.removeDemand(key)
		}
	}
}

func (h *Hub) removeDemand(key demandKey) {
	delete(h.demands.reportedAt, key)
	delete(h.demands.all, key)
	for _, d := range h.daemons {
		delete(d.demands, key)
	}
}
