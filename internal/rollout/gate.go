package rollout

import "time"

// Side says which endpoints of a service a request may be sent to.
type Side uint8

// The sides.
const (
	Any Side = iota // no roll-out
	Old             // all but the new version
	New             // the new version
)

// Gate is a daemon's view of the roll-outs. It is not safe for concurrent use.
type Gate struct {
	maxAge       time.Duration // how old the word may be
	rank         Rank
	confirmedAt  time.Time // when the newest word was known to hold
	ordersReadAt time.Time // when the decider was known to know all orders
	splits       map[string]Split
}

// Rank orders the words of deciders: a later decider's is higher.
type Rank struct {
	Token uint64 // of the decider's lease
	Seq   uint64
}

// Below reports whether a rank is lower.
func (r Rank) Below(o Rank) bool { return r.Token < o.Token || r.Token == o.Token && r.Seq < o.Seq }

// Update is all that a decider tells, and how old it is.
type Update struct {
	Rank Rank
	Age  time.Duration
	// OrdersAge is how long ago the decider heard from the store, and so knew that
	// there is no other order.
	OrdersAge time.Duration
	Splits    []Split
}

// NewGate returns a gate that has heard nothing.
func NewGate(b Bounds) *Gate { return &Gate{maxAge: b.MaxSplitAge(), splits: map[string]Split{}} }

// Apply takes news, unless newer ones are known.
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

// Update returns what this daemon tells others.
func (g *Gate) Update(now time.Time) Update {
	out := Update{Rank: g.rank, Age: now.Sub(g.confirmedAt), OrdersAge: now.Sub(g.ordersReadAt)}
	for _, s := range g.splits {
		out.Splits = append(out.Splits, s)
	}
	return out
}

// Fresh reports whether the word is known to hold.
func (g *Gate) Fresh(now time.Time) bool {
	return g.rank.Token != 0 && now.Sub(g.confirmedAt) <= g.maxAge
}

// NoOrder reports whether a service for which there is no word is known to have had no
// order some time after a moment. Failure: the decider can't reach the store.
// Symptom: it tells of no order, and the new version gets as much as the old one.
func (g *Gate) NoOrder(now, moment time.Time) bool {
	return g.Fresh(now) && g.ordersReadAt.After(moment.Add(orderDelay))
}

// orderDelay is how much later than its first endpoint an order may be written.
const orderDelay = 1500 * time.Millisecond

// Split returns what is to be done with a service. Where the word is too old, nothing
// is sent to a new version, but for one that has taken over for good. Failure: a
// daemon is cut off before a roll-back. Symptom: callers get bad answers from a
// version that all others have left. known is false where there is no roll-out.
func (g *Gate) Split(now time.Time, service string) (s Split, known bool) {
	s, known = g.splits[service]
	if known && !s.Phase.Final() && !g.Fresh(now) {
		s.Phase, s.Share, s.Routes = Trial, 0, nil
	}
	return s, known
}

// Side returns which endpoints a request of a route may be sent to, for a draw from
// [0, 1).
func (s *Split) Side(route string, draw float64) Side {
	if draw < s.ShareOf(route) {
		return New
	}
	return Old
}
