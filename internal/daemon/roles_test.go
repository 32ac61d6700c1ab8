package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
)

func testView(daemons int) *rosterView {
	r := newRoster(peerInfo{}, 1, newLifecycle())
	all := make([]peerInfo, 0, daemons)
	for _, id := range daemonIDs(daemons) {
		all = append(all, peerInfo{Instance: fleet.InstanceID(id), Daemon: id, Serving: true})
	}
	r.self = all[0]
	r.set(all)
	return r.view.Load()
}

// Guards against a shard's part of the platform's budget that two daemons use, or none.
func TestEveryLedgerShardHasOneWriterAndOneStandby(t *testing.T) {
	for _, n := range []int{1, 2, 9, 340} {
		v := testView(n)
		shards, standby := 0, 0
		for _, id := range v.serving {
			own, next := v.ledgerRoles(fleet.InstanceID(id))
			shards, standby = shards+own, standby+next
		}
		assert.Equal(t, shards, ledgerShards, "%d daemons", n)
		assert.Equal(t, standby, min(n-1, 1)*ledgerShards, "%d daemons", n)
		for shard := range ledgerShards {
			at := ledger.WriterOf(shard, v.serving)
			assert.Equal(t, string(v.ledgerRanks(shard)[0]), v.serving[at])
		}
	}
}

// BenchmarkLedgerRoles is what a new view costs.
func BenchmarkLedgerRoles(b *testing.B) {
	v := testView(340)
	for b.Loop() {
		v.ledgerRoles("daemon-7")
	}
}
