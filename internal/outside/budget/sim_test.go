package budget

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/google/uuid"
)

// Parameters of the simulated fleet; the ledger's duty has the same bounds.
const (
	simStore   = 2 * time.Millisecond  // a store call, and as much again at random
	simHop     = time.Millisecond      // between two daemons, one way
	simRun     = 20 * time.Millisecond // an order on its endpoint
	simForward = time.Second           // after which the next is asked
	simIntent  = 3 * time.Second
	simCall    = 2 * time.Second
	simLeases  = 64
	simRenew   = 6 * time.Second
	simStatus  = 60 * time.Second // between a daemon's writes of its status
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simDaemon is one daemon with its real budget and real ledger writers.
type simDaemon struct {
	id      int
	budgets [classes]*Budget // one and the same but where a way has several
	writers map[int]*ledger.GroupCommit
	view    []int // the rank of each ledger shard's writer, as this daemon believes
	sees    int   // daemons, itself included
	paused  bool  // answers nobody
	wanted  int   // writes asked for since the last look of the lending way
}

// sim is a fleet with one store, in virtual time.
type sim struct {
	way      way
	queue    simQueue
	now      time.Time
	seq      int
	random   *rand.Rand
	daemons  []*simDaemon
	fleet    int
	shards   int
	objects  map[string]ledger.Object
	version  uint64
	settleBy bool // outcomes are written by the shard's writer, not where the order ran

	started map[ledger.Owner]time.Time
	from    map[ledger.Owner]*simDaemon
	writes  []time.Time
	added   []time.Duration
	refused int
	late    int // renewals that came too late for their leases
}

func newSim(w way, daemons, shards int) *sim {
	s := &sim{
		way: w, now: start, fleet: daemons, shards: shards, settleBy: true,
		random:  rand.New(rand.NewPCG(1, 2)),
		objects: make(map[string]ledger.Object),
		started: make(map[ledger.Owner]time.Time),
		from:    make(map[ledger.Owner]*simDaemon),
	}
	for id := range daemons {
		d := &simDaemon{id: id, sees: daemons, writers: make(map[int]*ledger.GroupCommit), view: make([]int, shards)}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.budgets = w.budgets(s, d)
		s.setRoles(d)
	}
	return s
}

// ranked is the daemon of a rank for a shard.
func (s *sim) ranked(shard, rank int) *simDaemon { return s.daemons[(shard*41+rank*13+5)%s.fleet] }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// setRoles sets the shards that a daemon takes itself for the writer of.
func (s *sim) setRoles(d *simDaemon) {
	if !s.way.roles {
		return
	}
	held, standby := 0, 0
	for shard, rank := range d.view {
		if s.ranked(shard, rank) == d {
			held++
		}
		if s.way.standby && s.ranked(shard, rank+1) == d {
			standby++
		}
	}
	leases := 0
	for i := range simLeases {
		if s.holder(i) == d {
			leases++
		}
	}
	d.budgets[Intent].SetRoles(s.now, Roles{LedgerShards: held, LedgerStandby: standby, LeaseShards: leases, Daemons: d.sees})
}

func (s *sim) holder(lease int) *simDaemon { return s.daemons[(lease*7919)%len(s.daemons)] }

// call makes a platform call within the budget, or abandons it at its deadline, and reports its
// end.
func (s *sim) call(d *simDaemon, c Class, k Kind, deadline time.Time, done func(ok bool)) {
	b := d.budgets[c]
	a := b.Admit(s.now, c, k)
	switch {
	case a.Action == Allowed:
		if k == ObjectWrite {
			s.writes = append(s.writes, s.now)
		}
		s.after(simStore+time.Duration(s.random.Float64()*float64(simStore)), func() {
			done(true)
		})
	case a.Action == Refused || a.At.After(deadline):
		done(false)
	default:
		s.after(a.At.Sub(s.now), func() { s.call(d, c, k, deadline, done) })
	}
}

func (s *sim) do(d *simDaemon, shard int, actions []ledger.Action) {
	g := d.writers[shard]
	for _, a := range actions {
		switch a := a.(type) {
		case ledger.Write:
			d.wanted++
			s.call(d, Intent, ObjectWrite, s.now.Add(simCall), func(ok bool) {
				result := s.put(a, ok)
				s.report(d, ok, result.Status)
				s.do(d, shard, g.Written(s.now, result))
			})
		case ledger.Read:
			s.call(d, Intent, ObjectRead, s.now.Add(simCall), func(ok bool) {
				s.do(d, shard, g.ReadBack(s.now, ledger.ReadResult{Call: a.Call, OK: ok, Object: s.objects[a.Name]}))
			})
		case ledger.List:
			s.call(d, Intent, ObjectRead, s.now.Add(simCall), func(ok bool) {
				s.do(d, shard, g.Listed(s.now, ledger.ListResult{Call: a.Call, OK: ok, Objects: s.objects}))
			})
		case ledger.Grant:
			s.granted(d, shard, a)
		case ledger.Refuse:
			s.ended(a.Intent.Owner)
			s.refused++
		}
	}
	s.wake(d, shard)
}

func (s *sim) report(d *simDaemon, sent bool, status ledger.WriteStatus) {
	result := Answered
	if status == ledger.Conflict {
		result = Lost
	}
	if sent {
		d.budgets[Intent].Report(s.now, ObjectWrite, Outcome{Result: result})
	}
}

func (s *sim) put(w ledger.Write, ok bool) ledger.WriteResult {
	r := ledger.WriteResult{Call: w.Call, Status: ledger.Unavailable}
	current := s.objects[w.Name]
	switch {
	case !ok:
	case current.Version != w.Version:
		r.Status, r.Current = ledger.Conflict, &current
	default:
		s.version++
		s.objects[w.Name] = ledger.Object{Version: s.version, Value: w.Value}
		r.Status, r.Version = ledger.Written, s.version
	}
	return r
}

func (s *sim) wake(d *simDaemon, shard int) {
	g := d.writers[shard]
	next := g.Next()
	if next.IsZero() {
		return
	}
	s.after(max(0, next.Sub(s.now)), func() {
		if at := g.Next(); !at.IsZero() && !at.After(s.now) {
			s.do(d, shard, g.Tick(s.now))
		}
	})
}

func (d *simDaemon) writer(shard int) *ledger.GroupCommit {
	g, ok := d.writers[shard]
	if !ok {
		g = ledger.NewGroupCommit(shard, ledger.DefaultGroupPolicy())
		d.writers[shard] = g
	}
	return g
}

// granted runs the order and stores its outcome.
func (s *sim) granted(d *simDaemon, shard int, a ledger.Grant) {
	from := s.from[a.Intent.Owner]
	if from == nil {
		return
	}
	s.added = append(s.added, s.now.Sub(s.started[a.Intent.Owner])+hop(from, d))
	s.ended(a.Intent.Owner)
	s.after(simRun, func() {
		at := from
		if s.settleBy {
			at = d
		}
		g := at.writer(shard)
		s.do(at, shard, g.Outcome(s.now, a.Intent, ledger.Outcome{Status: 201, Body: make([]byte, 64)}))
	})
}

func (s *sim) ended(o ledger.Owner) {
	delete(s.started, o)
	delete(s.from, o)
}

func hop(a, b *simDaemon) time.Duration {
	if a == b {
		return 0
	}
	return simHop
}

// order sends one order by a daemon to its shard's writer, and to the daemon's
// own where that one doesn't answer.
func (s *sim) order(d *simDaemon) {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(s.random.Uint32())
	}
	s.seq++
	in := ledger.Intent{
		Workspace: fleet.WorkspaceID("workspace"),
		Key:       ledger.Key{ID: id, At: s.now},
		Owner:     ledger.Owner(fmt.Sprintf("instance-%03d/%016d", d.id, s.seq)),
		Deadline:  s.now.Add(simIntent),
	}
	s.started[in.Owner], s.from[in.Owner] = s.now, d
	shard := ledger.ShardOf(in.Workspace, in.Key, s.shards)
	to, wait := s.answering(d, shard)
	s.after(wait, func() { s.do(to, shard, to.writer(shard).Intend(s.now, in)) })
	s.after(simIntent, func() {
		if _, open := s.started[in.Owner]; open {
			s.do(to, shard, to.writer(shard).Tick(s.now))
		}
	})
}

// answering returns the daemon that takes an order, the writer, the standby if the way has one, or
// the daemon itself, and after what time.
func (s *sim) answering(d *simDaemon, shard int) (*simDaemon, time.Duration) {
	ranks := 1
	if s.way.standby {
		ranks = 2
	}
	wait := time.Duration(0)
	for rank := range ranks {
		to := s.ranked(shard, d.view[shard]+rank)
		if !to.paused {
			return to, wait + hop(d, to)
		}
		wait += simForward
	}
	return d, wait
}

// orders sends a Poisson stream of orders by random daemons.
func (s *sim) orders(perSecond float64, d time.Duration) {
	end := s.now.Add(d)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		s.order(s.daemons[s.random.IntN(len(s.daemons))])
		s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// background adds the renewals of leases and each daemon's status.
func (s *sim) background() {
	for i := range simLeases {
		s.every(simRenew, func(again func()) {
			asked := s.now
			s.call(s.holder(i), Lease, ObjectWrite, s.now.Add(3*time.Second), func(ok bool) {
				if !ok || s.now.Sub(asked) > 3*time.Second {
					s.late++
				}
				again()
			})
		})
	}
	for _, d := range s.daemons {
		s.every(simStatus, func(again func()) {
			s.call(d, Status, ObjectWrite, s.now.Add(time.Minute), func(bool) { again() })
		})
	}
}

func (s *sim) every(mean time.Duration, f func(again func())) {
	var again func()
	again = func() {
		s.after(time.Duration((0.8+0.4*s.random.Float64())*float64(mean)), func() { f(again) })
	}
	s.after(time.Duration(s.random.Float64()*float64(mean)), func() { f(again) })
}

// peak is the most writes in any second.
func (s *sim) peak() int {
	slices.SortFunc(s.writes, time.Time.Compare)
	first, most := 0, 0
	for i, at := range s.writes {
		for at.Sub(s.writes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// stored returns how many in a hundred of the granted orders have their outcome in the ledger.
func (s *sim) stored() float64 {
	keys := make(map[uuid.UUID]bool)
	for _, o := range s.objects {
		var segment struct{ Records []ledger.Record }
		if json.Unmarshal(o.Value, &segment) != nil {
			continue
		}
		for _, r := range segment.Records {
			keys[r.Key] = keys[r.Key] || r.State == ledger.Stored
		}
	}
	n := 0
	for _, stored := range keys {
		if stored {
			n++
		}
	}
	return 100 * float64(n) / float64(max(1, len(keys)))
}
