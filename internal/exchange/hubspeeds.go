package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// Speeds returns the observations of endpoints' speeds for the reply to one daemon, nil while the
// last ones are recent.
func (h *Hub) Speeds(now time.Time, to fleet.DaemonID) *Speeds {
	d := h.daemons[to]
	interval := h.speedsInterval()
	if d == nil || now.Sub(d.speedsSentAt) < interval && !now.Before(d.speedsSentAt) {
		return nil
	}
	maxAge := max(minSpeedCacheAge, interval/speedCacheShare)
	if h.speedTotal == nil || now.Sub(h.speedTotal.at) > maxAge || now.Before(h.speedTotal.at) {
		h.speedTotal = h.sumSpeeds(now)
	}
	if len(h.speedTotal.all) == 0 {
		return nil
	}
	d.speedsSentAt = now
	return h.speedTotal.speedsFor(to)
}

// speedsInterval returns the time between two replies to a daemon with sums.
func (h *Hub) speedsInterval() time.Duration {
	if h.speedTotal == nil {
		return minSumsInterval
	}
	return speedSumsInterval(len(h.speedTotal.all))
}

// sumSpeeds sums the observations of all daemons whose last report isn't stale.
func (h *Hub) sumSpeeds(now time.Time) *speedTotal {
	t := &speedTotal{at: now, all: speed.Observations{}, byDaemon: make(map[fleet.DaemonID]agedSpeeds, len(h.daemons))}
	for id, d := range h.daemons {
		if now.Sub(d.receivedAt) > h.staleAfter() {
			continue
		}
		own := agedSpeeds{observed: d.report.Soft.Speeds, age: now.Sub(d.speedsAt)}
		t.byDaemon[id] = own
		t.all.Add(own.observed, own.age)
	}
	return t
}

// takeSpeeds takes the observations that a newer report doesn't have from the last one.
func (d *daemonState) takeSpeeds(old *daemonState) {
	d.speedsSentAt = old.speedsSentAt
	if len(d.report.Soft.Speeds) == 0 {
		d.report.Soft.Speeds, d.speedsAt, d.speedsCursor = old.report.Soft.Speeds, old.speedsAt, old.speedsCursor
	}
}

// speedsSince returns the observations that were received after a cursor, as they counted at the
// time of the last report.
func (d *daemonState) speedsSince(since Cursor) speed.Observations {
	if d.speedsCursor <= since {
		return nil
	}
	return d.report.Soft.Speeds.Aged(d.receivedAt.Sub(d.speedsAt))
}
