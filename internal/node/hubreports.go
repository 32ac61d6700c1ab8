package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// windowsInterval is how often a hub is told the windows of usage, a quarter of a
// report, which are due seconds after their end.
const windowsInterval = 800 * time.Millisecond

// hubReports is how this daemon's hubReports to one hub fare.
type hubReports struct {
	pending    bool      // one has no answer yet
	unanswered bool      // the last one ended without
	answeredAt time.Time // the last answer
	windowsAt  time.Time // the last answer to one with the windows of usage
	// crashesSent is what the hub has of this daemon's crashes of endpoints, crashesReceived what
	// this daemon has of the hub's.
	crashesSent, crashesReceived quarantine.Position
	// relaying is up to when the relay under way has what this hub was told, relayedTo
	// and windowsTo up to when the other hub has it.
	relaying, relayedTo, windowsTo exchange.Cursor
}

// takeCrashes takes what a hub told of takeCrashes after it was told up to a position. A
// hub that has started again has nothing of what it was told before.
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

// reportsTo returns the reports reportsTo a hub. The lock is held.
func (t *peerExchange) reportsTo(address string) *hubReports {
	r := t.hubs[address]
	if r == nil {
		r = &hubReports{}
		t.hubs[address] = r
	}
	return r
}

// beginCall reports whether no call to a hub is under way, and begins one.
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

// reportEnded notes how a report reportEnded. The first failure after an answer is logged,
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
		r.windowsAt = time.Time{} // who answers there next may be another process
		return
	}
	r.answeredAt, r.unanswered = time.Now(), false
	if p.Windows != nil {
		r.windowsAt = r.answeredAt
	}
}
