package budget

import (
	"math/rand/v2"
	"time"
)

// Budget is one daemon's share of the platform's rates. It is not safe for
// concurrent use.
type Budget struct {
	config   Config
	listed   int // fleet size as set
	now      Roles
	lanes    [Kinds]lane
	breakers [apis]breaker
	random   *rand.Rand
}

// New returns a budget that starts empty at a random phase, so that after a restart of the whole
// fleet the first calls are spread like later ones.
func New(c Config, now time.Time, random *rand.Rand) *Budget {
	b := &Budget{config: c.withDefaults(), random: random}
	b.listed = b.config.FleetSize
	for i := range b.breakers {
		b.breakers[i] = newBreaker()
	}
	for k := range b.lanes {
		b.lanes[k].phase = capacityPhase * random.Float64()
	}
	b.resize(now)
	for k := range b.lanes {
		b.lanes[k].restart(now, random)
	}
	return b
}

// SetFleetSize sets how many daemons share the platform: those of the instance list, not only
// those that can be reached, since a daemon that is cut off from half of the fleet still shares
// the platform with it.
func (b *Budget) SetFleetSize(now time.Time, daemons int) {
	if daemons > 0 {
		b.listed = daemons
		b.resize(now)
	}
}

// SetRoles sets this daemon's roles. It must be called whenever they change: until then a daemon
// keeps the part of a shard that it no longer writes.
func (b *Budget) SetRoles(now time.Time, r Roles) {
	b.now = r
	b.resize(now)
}

// resize fits all rates to the fleet's size, as set or as seen if that is larger, and the roles.
func (b *Budget) resize(now time.Time) {
	b.config.FleetSize = max(b.listed, b.now.Daemons)
	for k := range b.lanes {
		l := &b.lanes[k]
		l.resize(now, b.config.share(Kind(k)))
		l.writers = b.config.setApart(Kind(k), ledgerWriter) > 0
		for r := range roles {
			l.setPart(now, r, b.config.partRate(Kind(k), r, b.now), b.random)
		}
	}
}

// Admit decides whether a call may be made now. The outcome of an allowed call must
// be reported.
func (b *Budget) Admit(now time.Time, c Class, k Kind) Decision {
	c, k = min(c, Lease), min(k, WeightFetch)
	br := &b.breakers[k.api()]
	if at, ok := br.check(now); !ok {
		return Decision{Action: Refused, Reason: BreakerOpen, At: at}
	}
	d := b.lanes[k].admit(now, c, b.random)
	if d.Action == Allowed {
		br.sent(now)
	}
	return d
}

// Report records the end of an allowed call.
func (b *Budget) Report(now time.Time, k Kind, o Outcome) {
	k = min(k, WeightFetch)
	br := &b.breakers[k.api()]
	switch o.Result {
	case Failed:
		br.failed(now, b.random)
	case Abandoned:
		br.abandoned(now)
	case Limited:
		b.lanes[k].pause(now, o.After, b.random)
		b.answered(now, k)
	case Lost:
		b.lanes[k].lost = true
		b.answered(now, k)
	default:
		b.answered(now, k)
	}
}

// answered closes the breaker. The end of an outage is seen by all daemons
// within seconds, with full buckets and a backlog of calls: each starts
// again as after a restart.
func (b *Budget) answered(now time.Time, k Kind) {
	if !b.breakers[k.api()].answered() {
		return
	}
	for other := range b.lanes {
		if Kind(other).api() == k.api() {
			b.lanes[other].restart(now, b.random)
		}
	}
}
