package rollout

import "time"

// Side is the set of a service's endpoints that a request may be sent to.
type Side uint8

// The sides.
const (
	Any Side = iota // all endpoints: no roll-out
	Old             // those that aren't of the new version
	New             // those of the new version
)

// Gate is a daemon's copy of the decider's splits, with their age. It is not safe for
// concurrent use.
type Gate struct {
	maxAge       time.Duration // maximum age of an update to follow
	rank         Rank
	confirmedAt  time.Time // when the decider sent the newest update
	ordersReadAt time.Time // when the decider last read the orders
	splits       map[string]Split
}

// Rank orders the updates of deciders: by the fencing token of the decider's lease, then
// by a sequence number.
type Rank struct {
	Token uint64 // fencing token of the decider's lease
	Seq   uint64
}

// Below reports whether a rank is lower.
func (r Rank) Below(o Rank) bool { return r.Token < o.Token || r.Token == o.Token && r.Seq < o.Seq }

// Update is all splits of a decider, for the daemons. Daemons forward it, with its age.
type Update struct {
	Rank Rank
	Age  time.Duration
	// OrdersAge is the age of the decider's last successful read of the orders in the
	// store.
	OrdersAge time.Duration
	Splits    []Split
}

// NewGate returns a gate without an update.
func NewGate(b Bounds) *Gate { return &Gate{maxAge: b.MaxSplitAge(), splits: map[string]Split{}} }

// Apply takes an update, unless the gate has one of a higher rank.
func (g *Gate) Apply(now time.Time, u Update) {
	if u.Rank.Token == 0 || u.Rank.Below(g.rank) {
		return
	}
	if at := now.Add(-u.Age); g.rank.Below(u.Rank) || at.After(g.confirmedAt) {
		g.confirmedAt = at
	}
	if read := now.Add(-u.OrdersAge); g.rank.Below(u.Rank) || read.After(g.ordersReadAt) {
		g.ordersReadAt = read
	}
	g.rank = u.Rank
	clear(g.splits)
	for _, s := range u.Splits {
		g.splits[s.Service] = s
	}
}

// Update returns the gate's update, for other daemons.
func (g *Gate) Update(now time.Time) Update {
	out := Update{Rank: g.rank, Age: now.Sub(g.confirmedAt), OrdersAge: now.Sub(g.ordersReadAt)}
	for _, s := range g.splits {
		out.Splits = append(out.Splits, s)
	}
	return out
}

// Fresh reports whether the last update is recent enough to follow.
func (g *Gate) Fresh(now time.Time) bool {
	return g.rank.Token != 0 && now.Sub(g.confirmedAt) <= g.maxAge
}

// NoOrder reports whether a service without a split is known to have no order: the
// decider must have read the orders more than orderDelay after moment, when an endpoint
// of another version appeared. A decider that can't reach the store has no split for a
// service with an unread order, and the new version would get as many requests as the old
// one.
func (g *Gate) NoOrder(now, moment time.Time) bool {
	return g.Fresh(now) && g.ordersReadAt.After(moment.Add(orderDelay))
}

// orderDelay is how much later than the new version's first endpoint an order may be
// written.
const orderDelay = 1500 * time.Millisecond

// Split returns the split of a service; known is false if it has no roll-out. If the
// gate isn't fresh, the new version gets no requests, unless the roll-out has completed:
// a daemon that is cut off before a roll-back would go on sending requests to a version
// that all others have left.
func (g *Gate) Split(now time.Time, service string) (s Split, known bool) {
	s, known = g.splits[service]
	if known && !s.Phase.Final() && !g.Fresh(now) {
		s.Phase, s.Share, s.Routes = Trial, 0, nil
	}
	return s, known
}

// Side returns the endpoints that a request of a route may be sent to, for a random
// draw from [0, 1).
func (s *Split) Side(route string, draw float64) Side {
	if draw < s.ShareOf(route) {
		return New
	}
	return Old
}
