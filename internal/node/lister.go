package node

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
)

// chooseLoadHub chooses the hub that sends the endpoints' loads: the first that
// has answered lately, or all where none has.
func (t *peerExchange) chooseLoadHub(targets []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadHub = ""
	for _, address := range targets {
		if address == t.node.settings.Listen.Peers || time.Since(t.reportsTo(address).answeredAt) < t.unresponsiveAfter() && !t.lostRelay(address) {
			t.loadHub = address
			return
		}
	}
}

// lostRelay reports whether a hub that relays has left a report unanswered: what it
// received since it last relayed may not have reached others. The lock is held.
func (t *peerExchange) lostRelay(address string) bool {
	return t.node.members.layout().meshed && t.reportsTo(address).unanswered
}

// perDaemonLoads bounds the loads that a hub sends at 125 messages a second: they are
// most of the bytes between daemons, and grow with the endpoints.
const perDaemonLoads = 8 * time.Millisecond

// brief reports whether a hub need not send loads now. The lock is held.
func (t *peerExchange) brief(address string) bool {
	if t.loadHub == "" {
		return false
	}
	daemons := time.Duration(len(t.node.members.serving()))
	return t.loadHub != address || daemons > exchange.SmallFleet && time.Since(t.loadedAt) < daemons*perDaemonLoads
}

// endpointsPosition returns this daemon's position in a hub's list of endpoints. It
// follows one hub's list at a time, and none while it watches the store itself. The
// lock is held.
func (t *peerExchange) endpointsPosition(l *layout, address string) feed.Position {
	late := t.node.endpoints.lateList()
	switch {
	case t.node.endpoints.due() && !late:
		return feed.NoUpdate
	case !t.node.endpoints.hasList() && !late && !t.mayAskList(address):
		return feed.NoUpdate
	case t.listHub == "" && !t.mayFollow(l, address):
		return feed.NoUpdate // the whole list is requested from one hub alone
	case t.listHub == "":
		return feed.Position{Revision: t.node.endpoints.upTo()}
	case t.listHub == address && t.listsOften(l):
		return t.listPosition
	default:
		return feed.NoUpdate
	}
}

// listInterval is the minimum time between two requests for a hub's list in a fleet of
// hundreds: applying the changes takes a daemon time in proportion to the list.
const listInterval = 600 * time.Millisecond

// listsOften reports whether the list may be requested again. Hubs always may, because
// a delay of theirs adds to that of their daemons. The lock is held.
func (t *peerExchange) listsOften(l *layout) bool {
	return !l.meshed || t.relaying || time.Since(t.listedAt) >= listInterval
}

// mayFollow reports whether this daemon may begin to follow a hub's list. A hub that
// relays follows those that watch the store. The lock is held.
func (t *peerExchange) mayFollow(l *layout, address string) bool {
	if t.relaying {
		return slices.Contains(peersOf(l.watchers), address)
	}
	return t.loadHub == "" || t.loadHub == address || t.node.endpoints.hasList()
}

// takeList applies a hub's list of endpoints where this daemon follows that hub, or
// none. A daemon without a list accepts an old one as well, and continues from there.
func (t *peerExchange) takeList(address string, sum *exchange.Reply) {
	t.mu.Lock()
	lister := t.listHub
	t.mu.Unlock()
	wanted := lister == "" || lister == address
	old := sum.StoreAge > t.node.watch.staleAfter() && t.node.endpoints.hasList()
	if !wanted || old || sum.Endpoints.To.Seq == 0 {
		return
	}
	t.node.endpoints.applyHubList(&sum.Endpoints)
	t.setListHub(address, sum.Endpoints.To, sum.StoreAge)
}

// checkListHub stops following a hub that has sent no list for a while. While this
// daemon watches the store itself, the position in the hub's list is kept: otherwise the
// whole list, hundreds of kilobytes in a large fleet, would be sent again each time that
// a hub is late.
func (t *peerExchange) checkListHub() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.node.endpoints.due():
		t.listedAt = time.Now() // the hub's changes since then are requested later
	case time.Since(t.listedAt) > t.unresponsiveAfter()+listInterval:
		t.listHub, t.listPosition = "", feed.Position{}
	}
}

// unresponsiveAfter is how long a hub may send nothing before it is replaced: two
// reports have gone unanswered by then.
func (t *peerExchange) unresponsiveAfter() time.Duration { return 5 * t.node.interval() / 2 }

// setListHub notes which hub's list this daemon has, and the age of that hub's last
// contact with the store.
func (t *peerExchange) setListHub(address string, at feed.Position, age time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listHub, t.listPosition, t.listedAt = address, at, now
	t.hubStoreContact = now.Add(-age)
}
