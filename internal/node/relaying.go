package node

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// relayerTTL is how long another hub gets relayed reports after it last relayed
// something: it may replace an unresponsive hub, which not all views of the fleet show.
const relayerTTL = time.Second

// relays reports whether this daemon relays the reports that it receives: it is one of
// the hubs, or replaces an unresponsive one, which others detect before its view does.
func (x *peerExchange) relays(l *layout) bool {
	if !l.meshed {
		return false
	}
	if l.isHub(x.node.id) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hub.IsRelaying(time.Now())
}

// beginRound begins a round.
func (x *peerExchange) beginRound() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.seq++
}

func (x *peerExchange) setRelaying(relays bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.relaying = relays
}

// ownHubs returns the addresses of the hubs that this daemon reports to, and of as many
// stand-ins as of these are unresponsive.
func (x *peerExchange) ownHubs(l *layout) []string {
	out := peersOf(l.own)
	x.mu.Lock()
	defer x.mu.Unlock()
	unresponsive := 0
	for _, address := range out {
		if x.unresponsive(address) {
			unresponsive++
		}
	}
	out = append(out, peersOf(l.standIns[:min(unresponsive, len(l.standIns))])...)
	if l.meshed && unresponsive == 0 && len(out) > 1 && x.loadHub == out[0] && x.seq%exchange.BackupEvery != 0 {
		return out[:1]
	}
	return out
}

// unresponsive reports whether a hub has left the last report unanswered. The lock is
// held.
func (x *peerExchange) unresponsive(address string) bool { return x.hubState(address).unanswered }

// lostHub reports whether the hub that relays this daemon's reports has left the last one
// unanswered, so that it may not have reached any daemon.
func (x *peerExchange) lostHub() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.loadHub == "" || x.unresponsive(x.loadHub)
}

// otherHubs returns the addresses of all hubs, of those that replace one, and of those
// that may hold the duties next and need all reports then.
func (x *peerExchange) otherHubs(l *layout) []string {
	out := append(peersOf(l.hubs), peersOf(l.candidates)...)
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, at := range x.relayers {
		if time.Since(at) > relayerTTL {
			delete(x.relayers, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

func peersOf(all []membership.Member) []string {
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].Peer
	}
	return out
}

// addRelayed adds to a report what this hub has received since it last relayed to another
// hub. The lock is held.
func (x *peerExchange) addRelayed(l *layout, address string, report *exchange.Report) {
	r := x.hubState(address)
	r.relaying = x.hub.Cursor()
	counted := r.relaying // excludes the windows of usage
	if x.countsWindows(l, address) {
		counted = r.windowsTo
	}
	report.Relayed = x.hub.ReportsToRelay(time.Now(), r.relayedTo, counted)
}

// countsWindows reports whether a daemon may hold the duties, and so needs the windows of
// usage.
func (x *peerExchange) countsWindows(l *layout, address string) bool {
	return slices.ContainsFunc(l.candidates, func(m membership.Member) bool { return m.Peer == address }) ||
		slices.ContainsFunc(l.serving, func(m membership.Member) bool { return m.Peer == address && m.Daemon == x.holder.Daemon })
}

// takeRelayed applies what another hub has relayed. The lock is held.
func (x *peerExchange) takeRelayed(now time.Time, steady time.Duration, report *exchange.Report) {
	if !report.IsHub || report.Daemon == x.node.id {
		return
	}
	for _, m := range x.node.members.serving() {
		if m.Daemon == report.Daemon {
			x.relayers[m.Peer] = now
		}
	}
	for i := range report.Relayed {
		r := &report.Relayed[i]
		x.hub.AddRelayed(now, steady, r)
		x.node.rollouts.orders.addReports(r.Daemon, r.Rollouts)
	}
}

// relayed notes that a hub has what was relayed to it, or, after an error, that all of it
// must be relayed again.
func (s *hubState) relayed(report *exchange.Report, err error) {
	switch {
	case !report.IsHub:
	case err != nil:
		s.relayedTo, s.windowsTo = 0, 0
	default:
		s.relayedTo, s.windowsTo = s.relaying, s.relaying
	}
}

// applyHubReply applies another hub's reply to a relay, which has no totals: this hub
// computes its own.
func (x *peerExchange) applyHubReply(address string, reply *exchange.Reply, took time.Duration) {
	x.applyUpdates(address, reply, took)
	if took > exchange.ReplyTimeout {
		x.applyLate(reply)
		return
	}
	x.mu.Lock()
	x.holder = x.holder.Newer(reply.Holder)
	x.mu.Unlock()
	x.node.state.AdoptLevels(time.Now(), reply.Soft.Levels)
}

// storeAge returns the time since the last contact with the store: this daemon's own, or
// that of the hub whose list it follows. The lock is held.
func (x *peerExchange) storeAge(now time.Time) time.Duration {
	own := max(x.node.config.store.Age(), x.node.endpoints.store.Age())
	if x.hubStoreContact.IsZero() {
		return own
	}
	return min(own, now.Sub(x.hubStoreContact))
}

// ownCentrePeriod is how long a daemon without a list of endpoints requests it from strong
// machines of its own data centre alone; later from any.
const ownCentrePeriod = 2 * time.Second

// listSources returns the address from which a daemon without a list of endpoints requests
// one in addition to the hubs, while it doesn't list the store.
func (x *peerExchange) listSources(l *layout) []string {
	if x.node.endpoints.hasList() || x.node.endpoints.due() {
		return nil
	}
	for _, m := range strongest(l.serving, len(l.serving)) {
		if x.mayAskList(m.Peer) {
			return []string{m.Peer}
		}
	}
	return nil
}

// mayAskList reports whether a whole list may be requested from a daemon: a weak machine's
// link is too narrow for the lists of hundreds of daemons.
func (x *peerExchange) mayAskList(address string) bool {
	m, ok := x.node.members.at(address)
	if !ok || strengthOf(m.Daemon) < hubStrength {
		return false
	}
	near := m.DataCentre == x.node.settings.Daemon.DataCentre
	return near || time.Since(x.node.started) > ownCentrePeriod
}
