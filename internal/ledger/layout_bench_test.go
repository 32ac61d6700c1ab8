package ledger

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Assumptions of the comparison of layouts.
const (
	simStoreLatency = 3 * time.Millisecond  // of a call to the store
	simHopLatency   = time.Millisecond      // between two daemons, one way
	simRunTime      = 20 * time.Millisecond // of a request at its endpoint
	simDaemons      = 9
	simSeconds      = 30
)

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim runs requests against one layout in virtual time.
type sim struct {
	queue          simQueue
	now            time.Duration
	seq            int
	store          *harness
	shards         []layout
	writes, bytes  int
	addedLatencies []time.Duration         // from a request's start to its grant
	started        map[Owner]time.Duration // the start of each owner's request
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) time() time.Time { return t0.Add(s.now) }

func (s *sim) perform(l layout, hop time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Write:
			s.writes++
			s.bytes += len(a.Value)
			s.after(simStoreLatency, func() {
				r := WriteResult{Call: a.Call, Status: s.store.put(&a), Version: s.store.version}
				s.perform(l, hop, l.Written(s.time(), r))
			})
		case Read:
			s.after(simStoreLatency, func() {
				r := ReadResult{Call: a.Call, OK: true, Object: s.store.store[a.Name]}
				s.perform(l, hop, l.ReadBack(s.time(), r))
			})
		case List:
			s.after(simStoreLatency, func() {
				r := ListResult{Call: a.Call, OK: true, Objects: s.store.store}
				s.perform(l, hop, l.(*GroupCommit).Listed(s.time(), r))
			})
		case Grant:
			s.addedLatencies = append(s.addedLatencies, s.now-s.started[a.Intent.Owner]+hop)
			s.after(simRunTime, func() { s.outcome(l, hop, a) })
		}
	}
	s.scheduleTick(l, hop)
}

func (s *sim) outcome(l layout, hop time.Duration, g Grant) {
	o := Outcome{Status: 201, Body: make([]byte, 64)}
	switch l := l.(type) {
	case *PerKey:
		s.perform(l, hop, l.Outcome(s.time(), g, o))
	case *GroupCommit:
		s.perform(l, hop, l.Outcome(s.time(), g.Intent, o))
	}
}

// scheduleTick schedules a GroupCommit's tick for when its next batch is due.
func (s *sim) scheduleTick(l layout, hop time.Duration) {
	g, ok := l.(*GroupCommit)
	if !ok || g.Next().IsZero() {
		return
	}
	s.after(max(0, g.Next().Sub(s.time())), func() {
		if next := g.Next(); !next.IsZero() && !next.After(s.time()) {
			s.perform(g, hop, g.Tick(s.time()))
		}
	})
}

// request sends one request: to its shard's writer, which is another daemon except
// for one request in simDaemons, or with PerKey straight to the store.
func (s *sim) request(n int, random *rand.Rand) {
	key := keyAt(s.time(), 0)
	for i := 9; i < 16; i++ {
		key.ID[i] = byte(random.Uint32())
	}
	in := Intent{Workspace: "workspace", Key: key, Owner: Owner(fmt.Sprintf("instance-12/%020d", n)), Deadline: s.time().Add(time.Minute)}
	s.started[in.Owner] = s.now
	l, hop := s.shards[0], time.Duration(0)
	if _, grouped := l.(*GroupCommit); grouped {
		l = s.shards[ShardOf(in.Workspace, key, len(s.shards))]
		if n%simDaemons != 0 {
			hop = simHopLatency
		}
	}
	s.after(hop, func() { s.perform(l, hop, l.Intend(s.time(), in)) })
}

func simulate(rate int, shards []layout) *sim {
	s := &sim{store: newHarness(func() layout { return nil }), shards: shards, started: map[Owner]time.Duration{}}
	random := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for n := 0; at < simSeconds*time.Second; n++ {
		s.after(at, func() { s.request(n, random) })
		at += time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second))
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.addedLatencies)
	return s
}

func groupCommits(shards int, linger time.Duration, seal int) func() []layout {
	return func() []layout {
		p := DefaultGroupPolicy()
		p.Linger, p.SealBytes = linger, seal
		out := make([]layout, shards)
		for i := range out {
			out[i] = NewGroupCommit(i, p)
		}
		return out
	}
}

// rivalWriters builds two writers of shard 0, as there are while daemons disagree
// about which of them are alive.
func rivalWriters(linger time.Duration, seal int) func() []layout {
	return func() []layout {
		return []layout{groupCommits(1, linger, seal)()[0], groupCommits(1, linger, seal)()[0]}
	}
}

// BenchmarkLayouts compares the layouts in virtual time; the metrics besides
// ns/op don't depend on the machine. Run with -benchtime 1x.
func BenchmarkLayouts(b *testing.B) {
	const ms = time.Millisecond
	layouts := []struct {
		name  string
		build func() []layout
	}{
		{"perKey", func() []layout { return []layout{NewPerKey()} }},
		{"group/shards=1/linger=0/sealKB=4", groupCommits(1, 0, 4<<10)},
		{"group/shards=1/linger=2ms/sealKB=4", groupCommits(1, 2*ms, 4<<10)},
		{"group/shards=1/linger=5ms/sealKB=4", groupCommits(1, 5*ms, 4<<10)},
		{"group/shards=1/linger=10ms/sealKB=4", groupCommits(1, 10*ms, 4<<10)},
		{"group/shards=1/linger=5ms/sealKB=0", groupCommits(1, 5*ms, 1)},
		{"group/shards=1/linger=5ms/sealKB=16", groupCommits(1, 5*ms, 16<<10)},
		{"group/shards=1/linger=5ms/sealKB=256", groupCommits(1, 5*ms, 256<<10)},
		{"group/shards=4/linger=5ms/sealKB=4", groupCommits(4, 5*ms, 4<<10)},
		{"group/shards=16/linger=5ms/sealKB=4", groupCommits(16, 5*ms, 4<<10)},
		{"group/rivals=2/linger=5ms/sealKB=4", rivalWriters(5*ms, 4<<10)},
	}
	for _, l := range layouts {
		for _, rate := range []int{5, 20, 50, 100, 200, 500} {
			b.Run(fmt.Sprintf("%s/rate=%d", l.name, rate), func(b *testing.B) {
				for b.Loop() {
					report(b, simulate(rate, l.build()))
				}
			})
		}
	}
}

func report(b *testing.B, s *sim) {
	sum := time.Duration(0)
	for _, d := range s.addedLatencies {
		sum += d
	}
	count := len(s.addedLatencies)
	b.ReportMetric(float64(s.writes)/simSeconds, "writes/s")
	b.ReportMetric(float64(len(s.store.store))/simSeconds, "deletes/s") // each object is deleted once
	b.ReportMetric(float64(s.bytes)/simSeconds/1024, "KB/s")
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(count), "mean-ms")
	b.ReportMetric(float64(s.addedLatencies[count*99/100].Microseconds())/1000, "p99-ms")
}
