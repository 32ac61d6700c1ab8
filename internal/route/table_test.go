package route

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := New(Table{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	assert.Equal(t, table.Match("a.example", "/x/y/z").Name, "long")
	assert.Equal(t, table.Match("A.example:8080", "/x/yy").Name, "short")
	assert.Equal(t, table.Match("b.example", "/x/y/z").Name, "other")
	assert.Assert(t, table.Match("a.example", "/x") == nil)
	assert.Assert(t, table.Match("c.example", "/x/") == nil)
}

func TestBackendsByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 10}}}
	assert.Equal(t, r.Backend(0), "a")
	assert.Equal(t, r.Backend(0.89), "a")
	assert.Equal(t, r.Backend(0.91), "b")
	assert.Equal(t, r.Backend(0.9999999), "b")
}

func TestRepeatableByKind(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.Assert(t, !(&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Repeatable())
}

func TestCostInTokensOrRequests(t *testing.T) {
	w := Workspace{CountsTokens: true, PlainTokens: 200}
	assert.Equal(t, w.Cost(0), 200.0)
	assert.Equal(t, w.Cost(1540), 1540.0)
	assert.Equal(t, (&Workspace{}).Cost(1540), 1.0)
}

// Guards against a change of a stream's services that a daemon which starts doesn't notice.
func TestResumableServices(t *testing.T) {
	table := func(change func(r []Route)) uint64 {
		routes := []Route{
			{Name: "a", Prefix: "/a/", Kind: Streaming, Resumable: true, Backends: []Backend{{"s", 1}, {"t", 1}}},
			{Name: "b", Prefix: "/b/", Kind: Streaming, Resumable: true, Backends: []Backend{{"s", 1}}},
			{Name: "c", Prefix: "/c/", Kind: Idempotent, Backends: []Backend{{"s", 1}}},
		}
		change(routes)
		return New(Table{Routes: routes}).ResumableServices()
	}
	same := table(func([]Route) {})
	assert.Equal(t, table(func(r []Route) { slices.Reverse(r) }), same)
	assert.Equal(t, table(func(r []Route) { slices.Reverse(r[0].Backends) }), same)
	assert.Equal(t, table(func(r []Route) { r[0].Backends[0].Weight = 3 }), same)
	assert.Equal(t, table(func(r []Route) { r[2].Backends[0].Service = "t" }), same)
	for _, change := range []func(r []Route){
		func(r []Route) { r[1].Backends[0].Service = "t" },
		func(r []Route) { r[0].Backends[1].Weight = 0 },
		func(r []Route) { r[1].Prefix = "/b/c/" },
		func(r []Route) { r[1].Resumable = false },
		func(r []Route) { r[0].Backends, r[1].Backends = r[1].Backends, r[0].Backends },
	} {
		assert.Assert(t, table(change) != same)
	}
}
