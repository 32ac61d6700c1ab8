package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// windowsInterval is how often a hub is sent the windows of usage: they are a quarter of
// a report's size, and due seconds after their end.
const windowsInterval = 800 * time.Millisecond

// hubReports is the state of this daemon's reports to one hub.
type hubReports struct {
	pending    bool      // a report is in flight
	unanswered bool      // the last report failed
	answeredAt time.Time // when the last answer arrived
	windowsAt  time.Time // when the last report with the windows of usage was answered
	// crashesSent is the position up to which the hub has this daemon's crashes of endpoints,
	// crashesReceived that up to which this daemon has the hub's.
	crashesSent, crashesReceived quarantine.Position
	// relaying is the position up to which the relay in flight includes what this hub
	// received; relayedTo and windowsTo are those up to which the other hub has it.
	relaying, relayedTo, windowsTo exchange.Cursor
}

// takeCrashes takes the crashes in the answer to a report that included this daemon's up
// to a position. A hub that has restarted has lost what it received before.
func (t *peerExchange) takeCrashes(address string, upTo quarantine.Position, sum *exchange.Reply) {
	t.mu.Lock()
	r := t.reportsTo(address)
	if r.crashesReceived.Epoch != sum.CrashesPosition.Epoch && r.crashesReceived.Epoch != 0 {
		upTo = quarantine.Position{}
	}
	r.crashesSent, r.crashesReceived = upTo, sum.CrashesPosition
	t.mu.Unlock()
	t.node.crashes.add(sum.Crashes)
}

// reportsTo returns the state of the reports to a hub. The lock is held.
func (t *peerExchange) reportsTo(address string) *hubReports {
	r := t.hubs[address]
	if r == nil {
		r = &hubReports{}
		t.hubs[address] = r
	}
	return r
}

// beginCall reports whether no call to a hub is in flight, and begins one.
func (t *peerExchange) beginCall(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reportsTo(address)
	if r.pending {
		return false
	}
	r.pending = true
	return true
}

func (t *peerExchange) endCall(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportsTo(address).pending = false
}

// reportEnded notes how a report ended. The first failure after an answer is logged,
// further ones are only counted: in an outage there are several a second.
func (t *peerExchange) reportEnded(address string, p *exchange.Report, err error) {
	t.node.metrics.reported(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reportsTo(address)
	r.relayed(p, err)
	if err != nil {
		if !r.unanswered {
			t.node.logFor("peers").WithError(err).WithField("address", address).Warn("report not answered")
		}
		r.unanswered = true
		r.windowsAt = time.Time{} // the next answer there may be another process's
		return
	}
	r.answeredAt, r.unanswered = time.Now(), false
	if p.Windows != nil {
		r.windowsAt = r.answeredAt
	}
}
