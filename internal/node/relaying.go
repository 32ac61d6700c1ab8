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
func (t *peerExchange) relays(l *layout) bool {
	if !l.meshed {
		return false
	}
	if l.isHub(t.node.id) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hub.IsRelaying(time.Now())
}

// beginRound begins a round.
func (t *peerExchange) beginRound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
}

func (t *peerExchange) setRelaying(relays bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relaying = relays
}

// ownHubs returns the addresses of the hubs that this daemon reports to, and of as many
// stand-ins as of these are unresponsive.
func (t *peerExchange) ownHubs(l *layout) []string {
	out := peersOf(l.own)
	t.mu.Lock()
	defer t.mu.Unlock()
	unresponsive := 0
	for _, address := range out {
		if t.unresponsive(address) {
			unresponsive++
		}
	}
	out = append(out, peersOf(l.standIns[:min(unresponsive, len(l.standIns))])...)
	if l.meshed && unresponsive == 0 && len(out) > 1 && t.loadHub == out[0] && t.seq%exchange.BackupEvery != 0 {
		return out[:1]
	}
	return out
}

// unresponsive reports whether a hub has left the last report unanswered. The lock is
// held.
func (t *peerExchange) unresponsive(address string) bool { return t.reportsTo(address).unanswered }

// lostHub reports whether the hub that relays this daemon's reports has left the last one
// unanswered, so that it may not have reached any daemon.
func (t *peerExchange) lostHub() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadHub == "" || t.unresponsive(t.loadHub)
}

// otherHubs returns the addresses of all hubs, of those that replace one, and of those
// that may hold the duties next and need all reports then.
func (t *peerExchange) otherHubs(l *layout) []string {
	out := append(peersOf(l.hubs), peersOf(l.candidates)...)
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, at := range t.relayers {
		if time.Since(at) > relayerTTL {
			delete(t.relayers, address)
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
func (t *peerExchange) addRelayed(l *layout, address string, p *exchange.Report) {
	r := t.reportsTo(address)
	r.relaying = t.hub.Cursor()
	counted := r.relaying // excludes the windows of usage
	if t.countsWindows(l, address) {
		counted = r.windowsTo
	}
	p.Relayed = t.hub.ReportsToRelay(time.Now(), r.relayedTo, counted)
}

// countsWindows reports whether a daemon may hold the duties, and so needs the windows of
// usage.
func (t *peerExchange) countsWindows(l *layout, address string) bool {
	return slices.ContainsFunc(l.candidates, func(m membership.Member) bool { return m.Peer == address }) ||
		slices.ContainsFunc(l.serving, func(m membership.Member) bool { return m.Peer == address && m.Daemon == t.holder.Daemon })
}

// takeRelayed applies what another hub has relayed. The lock is held.
func (t *peerExchange) takeRelayed(now time.Time, steady time.Duration, p *exchange.Report) {
	if !p.IsHub || p.Daemon == t.node.id {
		return
	}
	for _, m := range t.node.members.serving() {
		if m.Daemon == p.Daemon {
			t.relayers[m.Peer] = now
		}
	}
	for i := range p.Relayed {
		r := &p.Relayed[i]
		t.hub.AddRelayed(now, steady, r)
		t.node.rollouts.orders.addReports(r.Daemon, r.Rollouts)
	}
}

// relayed notes that a hub has what was relayed to it, or, after an error, that all of it
// must be relayed again.
func (r *hubReports) relayed(p *exchange.Report, err error) {
	switch {
	case !p.IsHub:
	case err != nil:
		r.relayedTo, r.windowsTo = 0, 0
	default:
		r.relayedTo, r.windowsTo = r.relaying, r.relaying
	}
}

// applyHubAnswer applies another hub's answer to a relay, which has no sums: this hub
// computes its own.
func (t *peerExchange) applyHubAnswer(address string, sum *exchange.Reply, took time.Duration) {
	t.applyUpdates(address, sum, took)
	if took > exchange.ReplyTimeout {
		t.applyLate(sum)
		return
	}
	t.mu.Lock()
	t.holder = t.holder.Newer(sum.Holder)
	t.mu.Unlock()
	t.node.state.AdoptLevels(time.Now(), sum.Soft.Levels)
}

// storeAge returns the time since the last contact with the store: this daemon's own, or
// that of the hub whose list it follows. The lock is held.
func (t *peerExchange) storeAge(now time.Time) time.Duration {
	own := max(t.node.config.store.Age(), t.node.endpoints.store.Age())
	if t.hubStoreContact.IsZero() {
		return own
	}
	return min(own, now.Sub(t.hubStoreContact))
}

// ownCentreOnly is how long a daemon without a list of endpoints requests it from strong
// machines of its own data centre alone; later from any.
const ownCentreOnly = 2 * time.Second

// listSources returns the address from which a daemon without a list of endpoints requests
// one in addition to the hubs, while it doesn't list the store.
func (t *peerExchange) listSources(l *layout) []string {
	if t.node.endpoints.hasList() || t.node.endpoints.due() {
		return nil
	}
	for _, m := range strongest(l.serving, len(l.serving)) {
		if t.mayAskList(m.Peer) {
			return []string{m.Peer}
		}
	}
	return nil
}

// mayAskList reports whether a whole list may be requested from a daemon: a weak machine's
// link is too narrow for the lists of hundreds of daemons.
func (t *peerExchange) mayAskList(address string) bool {
	m, ok := t.node.members.at(address)
	if !ok || strengthOf(m.Daemon) < hubStrength {
		return false
	}
	near := m.DataCentre == t.node.settings.Daemon.DataCentre
	return near || time.Since(t.node.started) > ownCentreOnly
}
