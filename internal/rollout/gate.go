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
	age   time.Duration // how old the word may be
	rank  Rank
	at    time.Time // when the newest word was known to hold
	read  time.Time // when the decider was known to know all orders
	words map[string]Word
}

// Rank orders the words of deciders: a later decider's is higher.
type Rank struct {
	Token uint64 // of the decider's lease
	Seq   uint64
}

// Below reports whether a rank is lower.
func (r Rank) Below(o Rank) bool { return r.Token < o.Token || r.Token == o.Token && r.Seq < o.Seq }

// News is all that a decider tells, and how old it is.
type News struct {
	Rank Rank
	Age  time.Duration
	// OrdersAge is how long ago the decider heard from the store, and so knew that
	// there is no other order.
	OrdersAge time.Duration
	Words     []Word
}

// NewGate returns a gate that has heard nothing.
func NewGate(b Bounds) *Gate { return &Gate{age: b.WordAge(), words: map[string]Word{}} }

// Hear takes news, unless newer ones are known.
func (g *Gate) Hear(now time.Time, n News) {
	if n.Rank.Token == 0 || n.Rank.Below(g.rank) {
		return
	}
	if at := now.Add(-n.Age); g.rank.Below(n.Rank) || at.After(g.at) {
		g.at = at
	}
	if read := now.Add(-n.OrdersAge); g.rank.Below(n.Rank) || read.After(g.read) {
		g.read = read
	}
	g.rank = n.Rank
	clear(g.words)
	for _, w := range n.Words {
		g.words[w.Service] = w
	}
}

// News returns what this daemon tells others.
func (g *Gate) News(now time.Time) News {
	out := News{Rank: g.rank, Age: now.Sub(g.at), OrdersAge: now.Sub(g.read)}
	for _, w := range g.words {
		out.Words = append(out.Words, w)
	}
	return out
}

// Fresh reports whether the word is known to hold.
func (g *Gate) Fresh(now time.Time) bool { return g.rank.Token != 0 && now.Sub(g.at) <= g.age }

// NoOrder reports whether a service for which there is no word is known to have had no
// order some time after a moment. Failure: the decider can't reach the store.
// Symptom: it tells of no order, and the new version gets as much as the old one.
func (g *Gate) NoOrder(now, moment time.Time) bool {
	return g.Fresh(now) && g.read.After(moment.Add(orderSlack))
}

// orderSlack is how much later than its first endpoint an order may be written.
const orderSlack = 1500 * time.Millisecond

// Word returns what is to be done with a service. Where the word is too old, nothing
// is sent to a new version, but for one that has taken over for good. Failure: a
// daemon is cut off before a roll-back. Symptom: callers get bad answers from a
// version that all others have left. known is false where there is no roll-out.
func (g *Gate) Word(now time.Time, service string) (w Word, known bool) {
	w, known = g.words[service]
	if known && !w.Phase.Final() && !g.Fresh(now) {
		w.Phase, w.Share, w.Routes = Trial, 0, nil
	}
	return w, known
}

// Side returns which endpoints a request of a route may be sent to, for a draw from
// [0, 1).
func (w *Word) Side(route string, draw float64) Side {
	if draw < w.ShareOf(route) {
		return New
	}
	return Old
}
