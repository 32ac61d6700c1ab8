package budget

// Roles are the duties that a daemon has now beyond those of all daemons. The zero value is a
// daemon without a role.
type Roles struct {
	LedgerShards  int // ledger shards that it writes
	LedgerStandby int // ledger shards that it writes while their writers don't answer
	LeaseShards   int // control shards whose leases it holds
	// Daemons is how many daemons, itself included, the ledger's writers were
	// chosen from; below 1 counts as 1.
	Daemons int
}

const (
	// wholePartFrom is the fleet's size from which the ledger's part is whole.
	// In a smaller one, a share of all writes carries a writer as well, and
	// what is set apart is taken from operators.
	wholePartFrom = 36
	// ledgerReadPart is the share of the planned reads set apart for the ledger's
	// writers. One whose write lost its condition reads what the other wrote,
	// segment by segment: by the common share, 5 a second in a fleet of 340,
	// it would fall ever further behind 60 segments a second.
	ledgerReadPart = 0.3
	// standbyPart is what a standby has of a shard's part, on top of it. With
	// every standby active beside its writer, the fleet still stays below what
	// Utilisation leaves: 0.8 and a quarter of 0.6 of it are 0.92.
	standbyPart = 0.25
	// leaseShardRate is set apart for each control shard, in calls a second: its
	// renewals are 0.2, the rest is for what the duty itself writes.
	leaseShardRate = 0.75
	// leasePart bounds that, as a share of the planned writes: for 64 shards it
	// is 0.375 a shard.
	leasePart = 0.1
	// partCapacity is the least that a part may save up, in calls: what a
	// holder of one control shard needs for a renewal beside a change.
	partCapacity = 3.0
)

// role is what a part of the writes is set apart for.
type role uint8

const (
	ledgerWriter role = iota
	leaseHolder
	roles
)

// role returns whose part a class of writes may use.
func (c Class) role() role {
	if c == Intent {
		return ledgerWriter
	}
	return leaseHolder
}

// partReserves is what a class leaves in its part, in calls. The renewal of a
// lease goes before what its holder writes by its right.
var partReserves = [classes]float64{Configuration: 1, Status: 1.5}

// partRate is the rate of a role's part here, in calls a second.
//
// If regions are partitioned, each chooses a writer of its own for every shard, and the store
// would get as many times the part as there are regions, for an hour. Each writer takes the
// share of the part that the daemons in its view are of the fleet, so that the shares of all
// sides add up to one. Leases have one holder each in any case.
func (c Config) partRate(k Kind, r role, now Roles) float64 {
	if r == leaseHolder {
		return c.setApart(k, r) * ratio(float64(now.LeaseShards), c.LeaseShards)
	}
	shards := float64(now.LedgerShards) + standbyPart*float64(now.LedgerStandby)
	seen := ratio(float64(max(1, now.Daemons)), c.FleetSize)
	return c.setApart(k, r) * ratio(shards, c.LedgerShards) * seen
}

// setApart is the rate of a role's part in the whole fleet. A role without
// shards has none.
func (c Config) setApart(k Kind, r role) float64 {
	planned := c.Fleet[k] * c.Utilisation
	switch {
	case r == leaseHolder && k == ObjectWrite:
		return min(planned*leasePart, float64(c.LeaseShards)*leaseShardRate)
	case r == ledgerWriter && c.LedgerShards > 0 && k == ObjectWrite:
		return planned * c.LedgerPart * ratio(float64(c.FleetSize), wholePartFrom)
	case r == ledgerWriter && c.LedgerShards > 0 && k == ObjectRead:
		return planned * ledgerReadPart
	default:
		return 0
	}
}

// ratio returns n/of within 0 and 1, and 0 of nothing.
func ratio(n float64, of int) float64 {
	if of <= 0 {
		return 0
	}
	return min(1, max(0, n/float64(of)))
}
