package node

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
)

// chooseLoadHub chooses the hub that sends the endpoints' loads: the first that
// has replied lately, or all where none has.
func (x *peerExchange) chooseLoadHub(targets []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loadHub = ""
	for _, address := range targets {
		if address == x.node.settings.Listen.Peers || time.Since(x.hubState(address).answeredAt) < x.unresponsiveAfter() && !x.lostRelay(address) {
			x.loadHub = address
			return
		}
	}
}

// lostRelay reports whether a hub that relays has left a report unanswered: what it
// received since it last relayed may not have reached others. The lock is held.
func (x *peerExchange) lostRelay(address string) bool {
	return x.node.members.layout().meshed && x.hubState(address).unanswered
}

// perDaemonLoadsInterval bounds the loads that a hub sends at 125 messages a second: they
// are most of the bytes between daemons, and grow with the endpoints.
const perDaemonLoadsInterval = 8 * time.Millisecond

// omitLoads reports whether a hub need not send loads now. The lock is held.
func (x *peerExchange) omitLoads(address string) bool {
	if x.loadHub == "" {
		return false
	}
	daemons := time.Duration(len(x.node.members.serving()))
	return x.loadHub != address || daemons > exchange.SmallFleet && time.Since(x.loadedAt) < daemons*perDaemonLoadsInterval
}

// endpointsPosition returns this daemon's position in a hub's list of endpoints. It
// follows one hub's list at a time, and none while it watches the store itself. The
// lock is held.
func (x *peerExchange) endpointsPosition(l *layout, address string) feed.Position {
	late := x.node.endpoints.firstListLate()
	switch {
	case x.node.endpoints.due() && !late:
		return feed.NoUpdate
	case !x.node.endpoints.hasList() && !late && !x.mayAskList(address):
		return feed.NoUpdate
	case x.listHub == "" && !x.mayFollow(l, address):
		return feed.NoUpdate // the whole list is requested from one hub alone
	case x.listHub == "":
		return feed.Position{Revision: x.node.endpoints.upTo()}
	case x.listHub == address && x.listDue(l):
		return x.listPosition
	default:
		return feed.NoUpdate
	}
}

// listInterval is the minimum time between two requests for a hub's list in a fleet of
// hundreds: applying the changes takes a daemon time in proportion to the list.
const listInterval = 600 * time.Millisecond

// listDue reports whether the list may be requested again. Hubs always may, because
// a delay of theirs adds to that of their daemons. The lock is held.
func (x *peerExchange) listDue(l *layout) bool {
	return !l.meshed || x.relaying || time.Since(x.listedAt) >= listInterval
}

// mayFollow reports whether this daemon may begin to follow a hub's list. A hub that
// relays follows those that watch the store. The lock is held.
func (x *peerExchange) mayFollow(l *layout, address string) bool {
	if x.relaying {
		return slices.Contains(peersOf(l.watchers), address)
	}
	return x.loadHub == "" || x.loadHub == address || x.node.endpoints.hasList()
}

// takeList applies a hub's list of endpoints where this daemon follows that hub, or
// none. A daemon without a list accepts an old one as well, and continues from there.
func (x *peerExchange) takeList(address string, reply *exchange.Reply) {
	x.mu.Lock()
	lister := x.listHub
	x.mu.Unlock()
	wanted := lister == "" || lister == address
	old := reply.StoreAge > x.node.watch.staleAfter() && x.node.endpoints.hasList()
	if !wanted || old || reply.Endpoints.To.Seq == 0 {
		return
	}
	x.node.endpoints.applyHubList(&reply.Endpoints)
	x.setListHub(address, reply.Endpoints.To, reply.StoreAge)
}

// checkListHub stops following a hub that has sent no list for a while. While this
// daemon watches the store itself, the position in the hub's list is kept: otherwise the
// whole list, hundreds of kilobytes in a large fleet, would be sent again each time that
// a hub is late.
func (x *peerExchange) checkListHub() {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.node.endpoints.due():
		x.listedAt = time.Now() // the hub's changes since then are requested later
	case time.Since(x.listedAt) > x.unresponsiveAfter()+listInterval:
		x.listHub, x.listPosition = "", feed.Position{}
	}
}

// unresponsiveAfter is how long a hub may send nothing before it is replaced: two
// reports have gone unanswered by then.
func (x *peerExchange) unresponsiveAfter() time.Duration { return 5 * x.node.interval() / 2 }

// setListHub notes which hub's list this daemon has, and the age of that hub's last
// contact with the store.
func (x *peerExchange) setListHub(address string, at feed.Position, age time.Duration) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listHub, x.listPosition, x.listedAt = address, at, now
	x.hubStoreContact = now.Add(-age)
}
