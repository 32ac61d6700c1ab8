package route

import (
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
