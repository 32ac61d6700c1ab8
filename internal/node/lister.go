package node

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
)

// chooseLoader chooses the hub that tells the endpoints' loads: the first that
// has answered lately, or all where none has.
func (t *telling) chooseLoader(targets []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loader = ""
	for _, address := range targets {
		if address == t.node.settings.Listen.Peers || time.Since(t.to(address).answered) < t.silence() && !t.lost(address) {
			t.loader = address
			return
		}
	}
}

// lost reports whether a hub that relays has left a report unanswered: what it was told
// since it last relayed isn't known to others. The lock is held.
func (t *telling) lost(address string) bool {
	return t.node.members.layout().meshed && t.to(address).unanswered
}

// perDaemonLoads bounds the loads that a hub tells at 125 a second: they are
// most of the bytes between daemons, and grow with the endpoints.
const perDaemonLoads = 8 * time.Millisecond

// brief reports whether a hub need not tell loads now. The lock is held.
func (t *telling) brief(address string) bool {
	if t.loader == "" {
		return false
	}
	daemons := time.Duration(len(t.node.members.serving()))
	return t.loader != address || daemons > exchange.SmallFleet && time.Since(t.loadedAt) < daemons*perDaemonLoads
}

// position returns what this daemon has of a hub's list of endpoints. One hub's
// list is followed at a time, and none while this daemon watches the store
// itself. The lock is held.
func (t *telling) position(l *layout, address string) feed.Position {
	late := t.node.endpoints.late()
	switch {
	case t.node.endpoints.due() && !late:
		return feed.NoUpdate
	case !t.node.endpoints.known() && !late && !t.mayList(address):
		return feed.NoUpdate
	case t.lister == "" && !t.follows(l, address):
		return feed.NoUpdate // all there is comes from one hub
	case t.lister == "":
		return feed.Position{Revision: t.node.endpoints.upTo()}
	case t.lister == address && t.listsOften(l):
		return t.listed
	default:
		return feed.NoUpdate
	}
}

// listInterval is the least time between two looks at a hub's list in a fleet of
// hundreds: to take what has changed takes a daemon as long as the list is.
const listInterval = 600 * time.Millisecond

// listsOften reports whether it is time to look at the list again. Hubs always do: what
// they tell is late by as much. The lock is held.
func (t *telling) listsOften(l *layout) bool {
	return !l.meshed || t.relaying || time.Since(t.listedAt) >= listInterval
}

// follows reports whether this daemon may begin to follow a hub's list. A hub that
// relays follows those that watch the store. The lock is held.
func (t *telling) follows(l *layout, address string) bool {
	if t.relaying {
		return slices.Contains(peersOf(l.watchers), address)
	}
	return t.loader == "" || t.loader == address || t.node.endpoints.known()
}

// list takes a hub's list of endpoints where this daemon follows it, or none. A
// daemon that has no list takes an old one as well: it goes on from there.
func (t *telling) list(address string, sum *exchange.Reply) {
	t.mu.Lock()
	lister := t.lister
	t.mu.Unlock()
	wanted := lister == "" || lister == address
	old := sum.StoreAge > t.node.watching.stale() && t.node.endpoints.known()
	if !wanted || old || sum.Endpoints.To.Seq == 0 {
		return
	}
	t.node.endpoints.heard(&sum.Endpoints)
	t.setLister(address, sum.Endpoints.To, sum.StoreAge)
}

// checkLister lets the followed hub go where it has told nothing for a while.
// While this daemon watches the store itself the place in the hub's list is
// kept: the whole list, of hundreds of kilobytes in a large fleet, would
// otherwise be told each time that a hub is late.
func (t *telling) checkLister() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.node.endpoints.due():
		t.listedAt = time.Now() // the hub's changes since then are asked for later
	case time.Since(t.listedAt) > t.silence()+listInterval:
		t.lister, t.listed = "", feed.Position{}
	}
}

// silence is the time after which a hub that tells nothing is let go: two
// reports have gone unanswered by then.
func (t *telling) silence() time.Duration { return 5 * t.node.interval() / 2 }

// setLister notes which hub's list this daemon has, as it was some time ago.
func (t *telling) setLister(address string, at feed.Position, age time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lister, t.listed, t.listedAt = address, at, now
	t.passedOn = now.Add(-age)
}
