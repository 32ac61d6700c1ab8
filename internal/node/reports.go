package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// windowsInterval is how often a hub is told the windows of usage, a quarter of a
// report, which are due seconds after their end.
const windowsInterval = 800 * time.Millisecond

// reports is how this daemon's reports to one hub fare.
type reports struct {
	pending    bool      // one has no answer yet
	unanswered bool      // the last one ended without
	answered   time.Time // the last answer
	counted    time.Time // the last answer to one with the windows of usage
	// told is what the hub has of this daemon's crashes of endpoints, heard what
	// this daemon has of the hub's.
	told, heard quarantine.Position
	// relaying is up to when the relay under way has what this hub was told, relayedTo
	// and windowsTo up to when the other hub has it.
	relaying, relayedTo, windowsTo exchange.Cursor
}

// crashes takes what a hub told of crashes after it was told up to a position. A
// hub that has started again has nothing of what it was told before.
func (t *telling) crashes(address string, upTo quarantine.Position, sum *exchange.Reply) {
	t.mu.Lock()
	r := t.to(address)
	if r.heard.Epoch != sum.CrashesPosition.Epoch && r.heard.Epoch != 0 {
		upTo = quarantine.Position{}
	}
	r.told, r.heard = upTo, sum.CrashesPosition
	t.mu.Unlock()
	t.node.crashes.add(sum.Crashes)
}

// to returns the reports to a hub. The lock is held.
func (t *telling) to(address string) *reports {
	r := t.hubs[address]
	if r == nil {
		r = &reports{}
		t.hubs[address] = r
	}
	return r
}

// enter reports whether no call to a hub is under way, and begins one.
func (t *telling) enter(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.to(address)
	if r.pending {
		return false
	}
	r.pending = true
	return true
}

func (t *telling) exit(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.to(address).pending = false
}

// ended notes how a report ended. The first failure after an answer is logged,
// further ones are only counted: in an outage there are several a second.
func (t *telling) ended(address string, p *exchange.Report, err error) {
	t.node.metrics.reported(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.to(address)
	r.relayed(p, err)
	if err != nil {
		if !r.unanswered {
			t.node.say("peers").WithError(err).WithField("address", address).Warn("report not answered")
		}
		r.unanswered = true
		r.counted = time.Time{} // who answers there next may be another process
		return
	}
	r.answered, r.unanswered = time.Now(), false
	if p.Windows != nil {
		r.counted = r.answered
	}
}
