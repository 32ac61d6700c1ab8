package daemon

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
)

// ledgerRanks returns the instances that write a ledger shard, best first: its
// writer, and the standby that is asked when the writer doesn't answer.
func (v *rosterView) ledgerRanks(shard int) []fleet.InstanceID {
	const ranks = 2
	left := slices.Clone(v.serving)
	out := make([]fleet.InstanceID, 0, ranks)
	for range min(ranks, len(left)) {
		at := ledger.WriterOf(shard, left)
		out = append(out, fleet.InstanceID(left[at]))
		left = slices.Delete(left, at, at+1)
	}
	return out
}

// ledgerRoles counts the shards that an instance writes, and those of which it
// is the standby.
func (v *rosterView) ledgerRoles(self fleet.InstanceID) (shards, standby int) {
	for shard := range ledgerShards {
		ranks := v.ledgerRanks(shard)
		switch slices.Index(ranks, self) {
		case 0:
			shards++
		case 1:
			standby++
		}
	}
	return shards, standby
}

// takeRoles fits this daemon's share of the platform to its roles. It is called with every new
// view, since a shard that a daemon no longer writes is another's.
func (d *Daemon) takeRoles(v *rosterView) {
	shards, standby := v.ledgerRoles(d.settings.Instance)
	d.platform.SetLedgerRole(shards, standby, len(v.serving))
}

// ledgerStandby returns the daemon to ask when a shard's writer doesn't answer,
// if it is another.
func (d *Daemon) ledgerStandby(shard int) (peerInfo, bool) {
	v := d.roster.view.Load()
	ranks := v.ledgerRanks(shard)
	if len(ranks) < 2 || ranks[1] == d.settings.Instance {
		return peerInfo{}, false
	}
	return *v.byID[ranks[1]], true
}
