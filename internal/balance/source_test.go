package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// fetchingBalancer returns a balancer for engines that can fetch cached tokens from
// each other; perToken is in seconds, 0: they can't.
func fetchingBalancer(perToken float64, endpoints int) *Balancer {
	b := New("a", rand.New(rand.NewPCG(1, 1)))
	b.Configure(route.New(route.Table{Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 48, CacheTokens: 700_000, FetchSeconds: perToken}},
	}}))
	b.SetEndpoints(start, addressedEndpoints(endpoints))
	return b
}

// addressedEndpoints returns endpoints whose address is their ID.
func addressedEndpoints(n int) []roster.Endpoint {
	all := testEndpoints(n)
	for i := range all {
		all[i].Address = string(all[i].ID)
	}
	return all
}

// overload sends prompts to an engine until it has about a second of prefill pending.
func overload(b *Balancer, c Choice) {
	for i := range uint64(12) {
		q := requestWithPrefix(1000 + i)
		b.Sent(q, Choice{Endpoint: c.Endpoint})
	}
}

// The engine that has a prefix cached is busy. The request goes to another one, which
// would compute the whole prefix again: it must fetch the cached part instead.
func TestSpilledRequestFetchesTheCachedPrefix(t *testing.T) {
	b := fetchingBalancer(2e-6, 18)
	q := requestWithPrefix(7)
	home, _ := b.Pick(start, q)
	assert.Equal(t, home.FetchFrom, "")
	b.Sent(q, home)
	b.FirstToken(q, home, 0.2)
	overload(b, home)

	other := requestWithPrefix(7)
	other.Parts[2].ID++ // another request with the same prefix
	got, _ := b.Pick(start, other)
	assert.Assert(t, got.Endpoint.ID != home.Endpoint.ID)
	assert.Equal(t, got.FetchFrom, home.Endpoint.Address)
	assert.Equal(t, got.Cached, 5400) // the shared parts
}

// Nothing is fetched if engines can't, if the shared part is small, or from an engine
// that has restarted. The request goes to the other engine each time.
func TestNoUselessFetch(t *testing.T) {
	b := fetchingBalancer(0, 2)
	q := requestWithPrefix(7)
	first, _ := b.Pick(start, q)
	b.Sent(q, first)
	overload(b, first)
	got, _ := b.Pick(start, q)
	assert.Assert(t, got.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, got.FetchFrom, "")

	b = fetchingBalancer(2e-6, 2)
	small := &Request{Service: "llm", Prompt: 1600, Parts: []Part{{1, 1000}, {2, 600}}}
	b.Sent(small, first)
	overload(b, first)
	got, _ = b.Pick(start, &Request{Service: "llm", Prompt: 1600, Parts: []Part{{1, 1000}, {3, 600}}})
	assert.Assert(t, got.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, got.FetchFrom, "")

	b = fetchingBalancer(2e-6, 2)
	all := addressedEndpoints(2)
	all[0].StartedAt, all[1].StartedAt = start, start
	b.SetEndpoints(start, all)
	first, _ = b.Pick(start, q)
	b.Sent(q, first)
	again := addressedEndpoints(2)
	again[0].StartedAt, again[1].StartedAt = start.Add(time.Second), start.Add(time.Second)
	drain(again, first.Endpoint.ID)
	b.SetEndpoints(start, again)
	got, _ = b.Pick(start, q)
	assert.Assert(t, got.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, got.FetchFrom, "")
}

// A draining engine gets no more requests, but its cache is still worth fetching.
func TestDrainingEngineIsAFetchSource(t *testing.T) {
	b := fetchingBalancer(2e-6, 2)
	q := requestWithPrefix(7)
	first, _ := b.Pick(start, q)
	b.Sent(q, first)
	all := addressedEndpoints(2)
	drain(all, first.Endpoint.ID)
	b.SetEndpoints(start, all)
	got, _ := b.Pick(start, q)
	assert.Assert(t, got.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, got.FetchFrom, string(first.Endpoint.ID))
}

func drain(all []roster.Endpoint, id fleet.EndpointID) {
	for i := range all {
		all[i].Draining = all[i].Draining || all[i].ID == id
	}
}

// Guards against cached tokens that one version has written and another one reads.
func TestCachedTokensAreFetchedFromTheSameVersionOnly(t *testing.T) {
	b, s := restingBalancer(1, 1), sources{}
	to := &member{fetchSeconds: 1e-6}
	to.Version = "v1"
	from := &member{}
	from.Version = "v2"
	s.add(from, 2*minFetchTokens)
	assert.Assert(t, b.planFetch(to, 0, &s).from == nil)
	from.Version = "v1"
	assert.Assert(t, b.planFetch(to, 0, &s).from == from)
}
