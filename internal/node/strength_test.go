package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// A fleet has weak and strong machines. If a weak one were the hub of all others, their
// reports would fill its link and it would be suspected to have failed.
func TestHubsAreOnStrongMachines(t *testing.T) {
	weak := LimitSettings{Cores: 0.192, LinkMbps: 10}
	strong := LimitSettings{Cores: 0.8, LinkMbps: 200}
	var all []membership.Member
	for range 20 {
		all = append(all, membership.Member{Daemon: newID(weak)})
	}
	a, b := newID(strong), newID(strong)
	all = append(all, membership.Member{Daemon: a}, membership.Member{Daemon: b})
	hubs := strongest(all, 2)
	assert.Assert(t, hubs[0].Daemon != hubs[1].Daemon)
	for _, h := range hubs {
		assert.Assert(t, h.Daemon == a || h.Daemon == b)
	}
	assert.Equal(t, strengthOf(newID(LimitSettings{Cores: 0.4, LinkMbps: 1000})), 4)
	assert.Equal(t, strengthOf("no-grade"), 0)
}

// BenchmarkStrongest measures one choice of the hubs, which each daemon of a large fleet
// makes about thirty times a second.
func BenchmarkStrongest(b *testing.B) {
	var all []membership.Member
	for i := range 340 {
		l := LimitSettings{Cores: 0.192, LinkMbps: 10}
		if i%8 == 0 {
			l = LimitSettings{Cores: 0.8, LinkMbps: 200}
		}
		all = append(all, membership.Member{Daemon: newID(l)})
	}
	b.ReportAllocs()
	for b.Loop() {
		strongest(all, exchange.HubCount)
	}
}
