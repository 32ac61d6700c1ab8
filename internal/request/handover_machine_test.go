package request

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// requestState is the state of one request on one daemon.
type requestState struct{ alive, frozen, dispatched, finished, gaveUp bool }

// node is a simulated daemon.
type node struct {
	id        fleet.DaemonID
	ownership *OwnershipTable
	handover  *Handover
	states    map[Ref]*requestState
}

func (n *node) state(r Ref) *requestState {
	if n.states[r] == nil {
		n.states[r] = &requestState{}
	}
	return n.states[r]
}

// message is a message in transit; exactly one of the pointers is set.
type message struct {
	to         fleet.DaemonID
	offer      *Offer
	dispatched bool // the offered snapshot says that the request was dispatched
	reply      *Reply
	withdraw   *Withdraw
	from       fleet.DaemonID // sender of withdraw
	withdrawn  *Withdraw
	before     Rank
}

// network simulates daemons, their requests and the messages between them.
type network struct {
	now        time.Time
	nodes      []*node
	idempotent map[Ref]bool
	dispatches map[Ref]int
	inTransit  []message
	copies     map[Offer]int // copies of each offer that were sent
	lossy      bool
}

var netDeadline = t0.Add(time.Hour)

func (w *network) node(id fleet.DaemonID) *node {
	at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
	return w.nodes[at]
}

func (w *network) members() []Member {
	var out []Member
	for i, n := range w.nodes {
		dc := fleet.DataCentre(fmt.Sprint("dc", i%2))
		out = append(out, Member{Daemon: n.id, DataCentre: dc, Serving: n.handover == nil})
	}
	return out
}

func (w *network) do(t *rapid.T, n *node, actions []HandoverAction) {
	for _, o := range actions {
		switch o := o.(type) {
		case Prepare:
			w.prepare(t, n, o)
		case Send:
			w.send(t, n, o.Offer)
		case Withdraw:
			w.inTransit = append(w.inTransit, message{to: o.To, withdraw: &o, from: n.id})
		case Release:
			n.state(o.Ref).alive = false
		case Keep:
			n.state(o.Ref).frozen = false
		case GiveUp:
			s := n.state(o.Ref)
			s.alive, s.gaveUp = false, true
		}
	}
}

func (w *network) prepare(t *rapid.T, n *node, o Prepare) {
	s := n.state(o.Ref)
	if w.lossy && rapid.IntRange(0, 3).Draw(t, "not ready") == 0 {
		n.handover.NotReady(w.now, o.Ref)
		return
	}
	s.frozen = true
	w.do(t, n, n.handover.Ready(w.now, o.Ref, w.idempotent[o.Ref] || s.dispatched))
}

func (w *network) send(t *rapid.T, n *node, o Offer) {
	if w.lossy && w.copies[o] == 0 && rapid.IntRange(0, 4).Draw(t, "unsent") == 0 {
		w.do(t, n, n.handover.Unsent(w.now, o))
		return
	}
	w.copies[o]++
	w.inTransit = append(w.inTransit, message{to: o.To, offer: &o, dispatched: n.state(o.Ref).dispatched})
}

func (w *network) deliver(t *rapid.T, m message) {
	n := w.node(m.to)
	switch {
	case m.offer != nil:
		can := n.handover == nil && (!w.lossy || rapid.IntRange(0, 3).Draw(t, "full") > 0)
		r, fresh := n.ownership.Take(w.now, *m.offer, netDeadline, can)
		if fresh {
			s := n.state(m.offer.Ref)
			s.alive, s.frozen = true, false
			s.dispatched = s.dispatched || m.dispatched
		}
		w.inTransit = append(w.inTransit, message{to: m.offer.From, reply: &r})
	case m.reply != nil && n.handover != nil:
		w.do(t, n, n.handover.Replied(w.now, *m.reply))
	case m.withdraw != nil:
		before, lost := n.ownership.Withdraw(w.now, m.withdraw.Ref, m.withdraw.Rank, netDeadline)
		if lost {
			n.state(m.withdraw.Ref).alive = false
		}
		if n.handover != nil {
			w.do(t, n, n.handover.Learned(w.now, m.withdraw.Ref, m.withdraw.Rank))
		}
		w.inTransit = append(w.inTransit, message{to: m.from, withdrawn: m.withdraw, before: before})
	case m.withdrawn != nil && n.handover != nil:
		w.do(t, n, n.handover.Withdrawn(w.now, *m.withdrawn, m.before))
	}
}

func (w *network) leave(t *rapid.T, n *node) {
	if n.handover == nil {
		at := slices.Index(w.nodes, n)
		n.handover = NewHandover(w.members()[at], DefaultHandoverPolicy())
	}
	for ref, s := range n.states {
		if s.alive && !s.finished {
			n.handover.Add(Candidate{Ref: ref, Cost: len(ref.ID), Remaining: time.Minute}, n.ownership.Get(ref))
		}
	}
	n.handover.Leave(w.now.Add(time.Minute))
	w.tick(t, n)
}

func (w *network) tick(t *rapid.T, n *node) {
	if n.handover != nil {
		n.handover.SetMembers(w.members())
		w.do(t, n, n.handover.Tick(w.now))
	}
}

// dispatch makes a new attempt if the daemon's ownership allows it.
func (w *network) dispatch(n *node, ref Ref) {
	s := n.state(ref)
	own := n.ownership.Get(ref)
	if own == nil || !s.alive || s.finished || !own.MayDispatch() {
		return
	}
	if s.dispatched && !w.idempotent[ref] {
		return
	}
	s.dispatched = true
	w.dispatches[ref]++
}

func (w *network) check(t *rapid.T) {
	for ref, idempotent := range w.idempotent {
		assert.Assert(t, idempotent || w.dispatches[ref] <= 1, "%v dispatched %d times", ref, w.dispatches[ref])
		assert.Assert(t, idempotent || w.undispatchedHolders(ref) <= 1, "%d daemons may dispatch %v", w.undispatchedHolders(ref), ref)
	}
}

// undispatchedHolders counts the daemons that may dispatch the request for the
// first time.
func (w *network) undispatchedHolders(ref Ref) int {
	count := 0
	for _, n := range w.nodes {
		own, s := n.ownership.Get(ref), n.state(ref)
		if own != nil && own.MayDispatch() && s.alive && !s.dispatched && !s.finished {
			count++
		}
	}
	return count
}

// Daemons hand requests over while offers, replies and withdrawals are lost,
// duplicated and delayed, successors are full or leave as well, and notices are
// repeated. A non-idempotent request must never be dispatched twice. Once the
// network is reliable, each request must have ended with an answer or a verdict,
// or be held by exactly one daemon that is not leaving.
func TestHandoverOverAnUnreliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &network{now: t0, idempotent: map[Ref]bool{}, dispatches: map[Ref]int{}, copies: map[Offer]int{}, lossy: true}
		for i := range 4 {
			id := fleet.DaemonID(fmt.Sprint("d", i))
			w.nodes = append(w.nodes, &node{id: id, ownership: NewOwnershipTable(id), states: map[Ref]*requestState{}})
		}
		var refs []Ref
		for i := range 2 {
			r := ref(fmt.Sprint("r", i))
			refs = append(refs, r)
			w.idempotent[r] = rapid.Bool().Draw(t, "idempotent")
			n := w.nodes[i]
			n.ownership.Accept(r, netDeadline)
			n.state(r).alive = true
		}
		node := rapid.SampledFrom(w.nodes)
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) { w.pick(t, true, true) },
			"repeat":  func(t *rapid.T) { w.pick(t, true, false) },
			"lose":    func(t *rapid.T) { w.pick(t, false, true) },
			"leave": func(t *rapid.T) {
				if n := node.Draw(t, "node"); n != w.nodes[3] {
					w.leave(t, n)
				}
			},
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
				w.tick(t, node.Draw(t, "node"))
			},
			"dispatch": func(t *rapid.T) {
				w.dispatch(node.Draw(t, "node"), rapid.SampledFrom(refs).Draw(t, "ref"))
			},
			"finish": func(t *rapid.T) {
				n, r := node.Draw(t, "node"), rapid.SampledFrom(refs).Draw(t, "ref")
				if s := n.state(r); s.alive && s.dispatched {
					s.finished = true
					if n.handover != nil {
						n.handover.Finished(r)
					}
				}
			},
			"": w.check,
		})
		w.settle(t)
		for _, r := range refs {
			w.checkEnd(t, r)
		}
	})
}

func (w *network) pick(t *rapid.T, deliver, remove bool) {
	if len(w.inTransit) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.inTransit)-1).Draw(t, "message")
	m := w.inTransit[at]
	if remove {
		w.inTransit = slices.Delete(w.inTransit, at, at+1)
	}
	if deliver {
		w.deliver(t, m)
	}
}

// settle runs a reliable network for 75 s, in which every hand-over ends.
func (w *network) settle(t *rapid.T) {
	w.lossy = false
	for range 300 {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, n := range w.nodes {
			w.tick(t, n)
		}
		for len(w.inTransit) > 0 {
			m := w.inTransit[0]
			w.inTransit = w.inTransit[1:]
			w.deliver(t, m)
		}
		w.check(t)
	}
}

func (w *network) checkEnd(t *rapid.T, r Ref) {
	holders, over := 0, false
	for _, n := range w.nodes {
		s := n.state(r)
		over = over || s.finished || s.gaveUp
		if c := n.ownership.Get(r); c != nil && c.MayDispatch() && s.alive {
			holders++
			assert.Assert(t, over || n.handover == nil, "%v is still with leaving %v", r, n.id)
		}
	}
	assert.Assert(t, holders <= 1 || over, "%d daemons hold %v", holders, r)
	assert.Assert(t, holders == 1 || over, "%v is lost", r)
}
