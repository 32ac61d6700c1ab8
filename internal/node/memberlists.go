package node

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// membersInterval is the minimum time between two updates of the list of members from
// the view.
const membersInterval = 100 * time.Millisecond

// memberLists sends a large fleet's daemons the list of its members: hubs receive reports
// from all daemons of their data centre and from each other, while the membership
// protocol takes minutes to spread a thousand that start at once. The lock of
// peerExchange is held for all methods.
type memberLists struct {
	node       *Node
	log        *feed.Log
	view       *membership.View // the view that the log has
	at         time.Time
	positions  map[string]feed.Position // in the hubs' lists, by address
	receivedAt map[string]time.Time     // when a hub's list was last received, by address
}

func newMemberLists(n *Node) *memberLists {
	return &memberLists{node: n, log: feed.NewLog(rand.Uint64() | 1), positions: map[string]feed.Position{}, receivedAt: map[string]time.Time{}}
}

// since returns the changes that lead from another daemon's position to this hub's list
// of members.
func (l *memberLists) since(now time.Time, p feed.Position) feed.Update {
	if p == feed.NoUpdate {
		return feed.Update{}
	}
	if view := l.node.members.gossip.View(); view != l.view && now.Sub(l.at) >= membersInterval {
		l.view, l.at = view, now
		l.log.Set(0, itemsOf(aliveOf(view)))
	}
	return l.log.Since(p)
}

func itemsOf(all []membership.Member) []feed.Item {
	out := make([]feed.Item, 0, len(all))
	for i := range all {
		if text, err := exchange.EncodeMember(&all[i]); err == nil {
			out = append(out, feed.Item{Name: string(all[i].Instance), Spec: text})
		}
	}
	return out
}

// receive takes a hub's list and returns its members. Members that are no longer in it
// are left to the membership protocol.
func (l *memberLists) receive(address string, u *feed.Update) []membership.Member {
	if u.To.Seq == 0 {
		return nil
	}
	l.positions[address], l.receivedAt[address] = u.To, time.Now()
	out := make([]membership.Member, 0, len(u.Items))
	for _, it := range u.Items {
		if m, err := exchange.DecodeMember(it.Spec); err == nil {
			out = append(out, m)
		}
	}
	return out
}

// position returns this daemon's position in a hub's list, NoUpdate where another hub
// sends it or it was received less than listInterval ago.
func (l *memberLists) position(address string, wanted bool) feed.Position {
	if !wanted || time.Since(l.receivedAt[address]) < listInterval {
		return feed.NoUpdate
	}
	return l.positions[address]
}

// addMembers passes members on to the membership protocol.
func (n *Node) addMembers(all []membership.Member) {
	if len(all) > 0 {
		n.members.gossip.Introduce(all)
	}
}
