package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// windowsInterval is how often a hub is sent the windows of usage: they are a quarter of
// a report's size, and due seconds after their end.
const windowsInterval = 800 * time.Millisecond

// hubState is the state of this daemon's reports to one hub.
type hubState struct {
	pending    bool      // a report is in flight
	unanswered bool      // the last report failed
	answeredAt time.Time // when the last reply arrived
	windowsAt  time.Time // when the last report with the windows of usage was answered
	speedsAt   time.Time // when the last report with observations of speeds was answered
	// crashesSent is the position up to which the hub has this daemon's crashes of endpoints,
	// crashesReceived that up to which this daemon has the hub's.
	crashesSent, crashesReceived quarantine.Position
	// rateLimitsSent and rateLimitsReceived are the same for statements about rate limits.
	rateLimitsSent, rateLimitsReceived backpressure.Position
	// relaying is the position up to which the relay in flight includes what this hub
	// received; relayedTo and windowsTo are those up to which the other hub has it.
	relaying, relayedTo, windowsTo exchange.Cursor
}

// takeCrashes takes the crashes in the reply to a report that included this daemon's up
// to a position. A hub that has restarted has lost what it received before.
func (x *peerExchange) takeCrashes(address string, upTo quarantine.Position, reply *exchange.Reply) {
	x.mu.Lock()
	r := x.hubState(address)
	if r.crashesReceived.Epoch != reply.CrashesPosition.Epoch && r.crashesReceived.Epoch != 0 {
		upTo = quarantine.Position{}
	}
	r.crashesSent, r.crashesReceived = upTo, reply.CrashesPosition
	x.mu.Unlock()
	x.node.crashes.add(reply.Crashes)
}

// hubState returns the state of the reports to a hub. The lock is held.
func (x *peerExchange) hubState(address string) *hubState {
	r := x.hubs[address]
	if r == nil {
		r = &hubState{}
		x.hubs[address] = r
	}
	return r
}

// beginCall reports whether no call to a hub is in flight, and begins one.
func (x *peerExchange) beginCall(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.hubState(address)
	if r.pending {
		return false
	}
	r.pending = true
	return true
}

func (x *peerExchange) endCall(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hubState(address).pending = false
}

// reportEnded notes how a report ended. The first failure after a reply is logged,
// further ones are only counted: in an outage there are several a second.
func (x *peerExchange) reportEnded(address string, report *exchange.Report, err error) {
	x.node.metrics.reported(err)
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.hubState(address)
	r.relayed(report, err)
	if err != nil {
		if !r.unanswered {
			x.node.logFor("peers").WithError(err).WithField("address", address).Warn("report not answered")
		}
		r.unanswered = true
		r.windowsAt, r.speedsAt = time.Time{}, time.Time{} // the next reply there may be another process's
		return
	}
	r.answeredAt, r.unanswered = time.Now(), false
	if report.Windows != nil {
		r.windowsAt = r.answeredAt
	}
	if len(report.Soft.Speeds) > 0 {
		r.speedsAt = r.answeredAt
	}
}
