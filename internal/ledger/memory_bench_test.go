package ledger

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkChainMemory measures the memory that each record takes in its writer's
// view of a chain.
func BenchmarkChainMemory(b *testing.B) {
	const records = 30_000 // one minute at 500 requests a second
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newChain(0)
		for n := range records {
			in := newIntent(Owner(fmt.Sprintf("instance-12/%020d", n)), 1)
			in.Key.ID[14], in.Key.ID[15] = byte(n>>8), byte(n)
			r := in.record(1)
			r.State, r.Outcome = Stored, &Outcome{Status: 201, Body: make([]byte, 64)}
			c.records[keyOf(in)] = r
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "retained-B/record")
		runtime.KeepAlive(c)
	}
}

// BenchmarkGroupCommit measures one intent granted in a batch of 64, with a store
// that answers at once.
func BenchmarkGroupCommit(b *testing.B) {
	b.ReportAllocs()
	const batch = 64
	policy := DefaultGroupPolicy()
	policy.Linger = 0
	h := newHarness(func() layout { return nil })
	var g *GroupCommit
	var out []Action
	n := 0
	for b.Loop() {
		if n%4096 == 0 {
			h.store = map[string]Object{}
			g = NewGroupCommit(0, policy)
		}
		in := newIntent("instance-12/00000000000000000001", 1)
		in.Key.ID[14], in.Key.ID[15] = byte(n>>8), byte(n)
		out = append(out, g.Intend(h.now, in)...)
		if n++; n%batch == 0 {
			answerCalls(h, g, out)
			out = out[:0]
		}
	}
}
