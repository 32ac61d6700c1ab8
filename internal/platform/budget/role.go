package budget

// Roles is what a daemon does now beyond what every daemon does. The zero
// value is a daemon without a role.
type Roles struct {
	LedgerShards int // ledger shards that it writes
	LeaseShards  int // control shards whose leases it holds
	// Daemons is how many daemons, itself included, the ledger's writers were
	// chosen from; below 1 counts as 1.
	Daemons int
}

const (
	// leasePart is the share of the planned writes set apart for the holders of
	// leases: twice what 64 shards cost, the rest being for what the duties
	// themselves write.
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
// Failure: regions lose each other, and each finds a writer of its own for
// every shard. Symptom: as many times the part as there are regions goes to
// the store, for an hour. Each writer takes the share of the part which the
// daemons it sees are of the fleet, so that the shares of all sides come to
// one. Leases have one holder each, whoever sees whom.
func (c Config) partRate(r role, now Roles) float64 {
	if r == leaseHolder {
		return c.setApart(r) * ratio(now.LeaseShards, c.LeaseShards)
	}
	seen := ratio(max(1, now.Daemons), c.FleetSize)
	return c.setApart(r) * ratio(now.LedgerShards, c.LedgerShards) * seen
}

// setApart is the rate of a role's part in the whole fleet. A role without
// shards has none.
func (c Config) setApart(r role) float64 {
	planned := c.Fleet[ObjectWrite] * c.Utilisation
	switch {
	case r == ledgerWriter && c.LedgerShards > 0:
		return planned * c.LedgerPart
	case r == leaseHolder && c.LeaseShards > 0:
		return planned * leasePart
	default:
		return 0
	}
}

// ratio returns n/of within 0 and 1, and 0 of nothing.
func ratio(n, of int) float64 {
	if n <= 0 || of <= 0 {
		return 0
	}
	return min(1, float64(n)/float64(of))
}
