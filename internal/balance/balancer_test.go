package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

var start = time.Unix(1000, 0)

func newTestBalancer(seed uint64, endpoints int) *Balancer {
	b := New("a", rand.New(rand.NewPCG(seed, 1)))
	b.Configure(route.New(route.Table{Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 48, CacheTokens: 700_000}}, {Name: "app"},
	}}))
	b.SetEndpoints(start, testEndpoints(endpoints))
	return b
}

func testEndpoints(n int) []roster.Endpoint {
	all := make([]roster.Endpoint, n)
	for i := range all {
		all[i] = roster.Endpoint{
			ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "llm", Slots: 48,
			DataCentre: fleet.DataCentre("abcd"[i%4 : i%4+1]),
		}
	}
	return all
}

func requestWithPrefix(prefixID uint64) *Request {
	return &Request{Service: "llm", Prompt: 12000, Output: 380, Parts: []Part{{1, 500}, {prefixID, 4900}, {prefixID << 32, 6600}}}
}

// Two daemons that share nothing but the list of endpoints get requests with the same
// prefix. If they chose different engines, each engine would compute the prefix again.
func TestDaemonsAgreeOnTheHomeOfAPrefix(t *testing.T) {
	for prefixID := uint64(2); prefixID < 50; prefixID++ {
		a, _ := newTestBalancer(prefixID, 18).Pick(start, requestWithPrefix(prefixID))
		b, _ := newTestBalancer(prefixID+1000, 18).Pick(start, requestWithPrefix(prefixID))
		assert.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
		assert.Assert(t, a.Home)
	}
}

// A burst of requests with one prefix: its home has many seconds of prompts to
// compute. If all were still sent there, all would be late while other engines are
// idle.
func TestRequestsSpillFromABusyHome(t *testing.T) {
	b := newTestBalancer(1, 18)
	seen := map[fleet.EndpointID]bool{}
	for i := range uint64(200) {
		q := requestWithPrefix(7)
		q.Parts[2].ID += i
		c, ok := b.Pick(start, q)
		assert.Assert(t, ok)
		b.Sent(q, c)
		seen[c.Endpoint.ID] = true
	}
	assert.Assert(t, len(seen) > 10, "%d engines", len(seen))
}

// All daemons learn at the same time that one engine is idle. Each counts what it
// sends there itself, so that they don't all send everything to it.
func TestStaleLoadCausesNoHerd(t *testing.T) {
	const daemons = 8
	sent := map[fleet.EndpointID]int{}
	for d := range uint64(daemons) {
		b := newTestBalancer(d, 18)
		load := Loads{}
		for _, e := range testEndpoints(18)[1:] {
			load[rendezvous.ShortKeyOf(string(e.ID))] = Load{Requests: 12}
		}
		b.SetOthers(load)
		for i := range uint64(40) {
			q := &Request{Service: "llm", Prompt: 600, Output: 290, Parts: []Part{{d<<32 + i, 600}}}
			c, _ := b.Pick(start, q)
			b.Sent(q, c)
			sent[c.Endpoint.ID]++
		}
	}
	assert.Assert(t, sent["e0"] < daemons*40/3, "%d of %d", sent["e0"], daemons*40)
}

func TestTriedEndpointsAreNotChosenAgain(t *testing.T) {
	b := newTestBalancer(1, 3)
	q := requestWithPrefix(7)
	for range 3 {
		c, ok := b.Pick(start, q)
		assert.Assert(t, ok)
		q.Tried = append(q.Tried, c.Endpoint.ID)
	}
	_, ok := b.Pick(start, q)
	assert.Assert(t, !ok)
}

func TestDrainingEndpointsGetNoRequests(t *testing.T) {
	b := newTestBalancer(1, 2)
	all := testEndpoints(2)
	all[0].Draining = true
	b.SetEndpoints(start, all)
	for prefixID := range uint64(20) {
		c, ok := b.Pick(start, requestWithPrefix(prefixID+2))
		assert.Assert(t, ok)
		assert.Equal(t, c.Endpoint.ID, all[1].ID)
	}
	all[1].Draining = true
	b.SetEndpoints(start, all)
	_, ok := b.Pick(start, requestWithPrefix(2))
	assert.Assert(t, !ok)
}

// An engine fails half of its requests while its health checks pass. It must get
// little after the first failures, and get requests again after a while.
func TestFailingEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	b := newTestBalancer(1, 6)
	request := func(i int) *Request { return &Request{Service: "llm", Prompt: 600, Parts: []Part{{uint64(i), 600}}} }
	failed := 0
	now := start
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		a := request(i)
		c, _ := b.Pick(now, a)
		b.Sent(a, c)
		if c.Endpoint.ID == "e0" {
			failed++
			b.Done(now, a, c, false, Failed)
			continue
		}
		b.Done(now, a, c, true, Answered)
	}
	assert.Assert(t, failed <= 4, "%d requests sent to the failing endpoint", failed)
	again := 0
	now = now.Add(30 * time.Second)
	for i := range 200 {
		a := request(i)
		c, _ := b.Pick(now, a)
		b.Sent(a, c)
		if c.Endpoint.ID == "e0" {
			again++
		}
	}
	assert.Assert(t, again > 10, "%d", again)
}

// All endpoints of a service fail. Refusing every request would be worse than trying
// them.
func TestAvoidedEndpointsAreUsedWhenThereIsNoOther(t *testing.T) {
	b := newTestBalancer(1, 2)
	for range 6 {
		q := requestWithPrefix(3)
		c, ok := b.Pick(start, q)
		assert.Assert(t, ok)
		b.Sent(q, c)
		b.Done(start, q, c, false, Unreachable)
	}
	_, ok := b.Pick(start, requestWithPrefix(3))
	assert.Assert(t, ok)
}

func TestLoadEndsWithItsRequests(t *testing.T) {
	b := newTestBalancer(1, 1)
	q := requestWithPrefix(3)
	c, _ := b.Pick(start, q)
	b.Sent(q, c)
	assert.Equal(t, b.OwnLoads()[rendezvous.ShortKeyOf("e0")].Requests, 1)
	assert.Assert(t, b.OwnLoads()[rendezvous.ShortKeyOf("e0")].PendingPrefill > 0)
	b.FirstToken(q, c, 0.2)
	assert.Equal(t, b.OwnLoads()[rendezvous.ShortKeyOf("e0")].PendingPrefill, 0)
	b.Done(start, q, c, true, Answered)
	assert.Equal(t, len(b.OwnLoads()), 0)
}

func TestPrefillRateIsLearnedFromLongPrompts(t *testing.T) {
	r := newPrefillRate()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		queued := max(rng.NormFloat64(), 0) * 0.05
		r.observe(8000, 8000.0/112_000+queued, 1)
	}
	assert.Assert(t, r.perSecond > 95_000 && r.perSecond < 130_000, "%v", r.perSecond)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 140, 690, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPick(b, newTestBalancer(1, n)) })
		b.Run(fmt.Sprint(n, "/uneven"), func(b *testing.B) { benchmarkPick(b, unevenBalancer(n)) })
	}
}

// unevenBalancer returns a balancer of endpoints at three speeds, one of which drains, that has
// seen late pauses.
func unevenBalancer(endpoints int) *Balancer {
	b := newTestBalancer(1, endpoints)
	all := testEndpoints(endpoints)
	all[endpoints/2].Draining = true
	b.SetEndpoints(start, all)
	for i, e := range all {
		f := []float64{1 / 0.7, 1, 1 / 1.7}[i%3]
		b.members[e.ID].slow = slowness(f)
		b.ObservePause(start, Choice{Endpoint: e}, 600*time.Millisecond, 500*time.Millisecond)
	}
	return b
}

func benchmarkPick(b *testing.B, balancer *Balancer) {
	requests := make([]*Request, 320)
	for i := range requests {
		requests[i] = requestWithPrefix(uint64(i + 2))
		requests[i].PauseTarget = 500 * time.Millisecond
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if _, ok := balancer.Pick(start, requests[i%len(requests)]); !ok {
			b.Fatal("none")
		}
	}
}

// An engine restarts under its ID while requests run there. Its cache is empty and the
// requests are gone: otherwise the daemon would route prompts by a cache and a load
// that no longer exist. The ends of the earlier requests arrive later and must not be
// subtracted from the new load.
func TestRestartedEngineIsANewOne(t *testing.T) {
	b := newTestBalancer(1, 1)
	before := testEndpoints(1)
	before[0].StartedAt = start
	b.SetEndpoints(start, before)
	q := requestWithPrefix(7)
	old, ok := b.Pick(start, q)
	assert.Assert(t, ok)
	b.Sent(q, old)
	b.Sent(q, old)
	cached, _ := b.Pick(start, q)
	assert.Equal(t, cached.Cached, q.Prompt)

	after := testEndpoints(1)
	after[0].StartedAt = start.Add(time.Second)
	b.SetEndpoints(start, after)
	assert.Equal(t, len(b.OwnLoads()), 0)
	fresh, _ := b.Pick(start, q)
	assert.Assert(t, fresh.Cached < q.Prompt, "%d", fresh.Cached)
	b.Sent(q, fresh)
	b.Done(start, q, old, false, Failed)
	b.Done(start, q, old, false, Failed)
	assert.Equal(t, b.OwnLoads()[rendezvous.ShortKeyOf("e0")].Requests, 1)
	assert.Assert(t, !b.members["e0"].avoided(start))
}
