package balance

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
)

const (
	// brittleHold is how long after an endpoint of a service last stated a rejection limit
	// an answer without one doesn't end it: not all endpoints need state it at once.
	brittleHold = time.Second
	// targetUse is the share of its slots up to which more requests than slots may be
	// allowed, since few of the daemons send at the same time.
	targetUse = 0.5
	// minUse bounds how many more.
	minUse = 0.05
	// useStep is the part by which a load report changes the measured use.
	useStep = 0.3
	// strictTime is how long after a rejection no more requests than slots are allowed.
	strictTime = 5 * time.Second
	// unknownFleetSize is assumed until the serving daemons are known.
	unknownFleetSize = 100
	// minBackoff and maxBackoff bound the time for which a brittle endpoint gets nothing
	// after it rejected a request of this daemon; it doubles with each further one.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// ceilingCut is the factor by which a rejection lowers an endpoint's ceiling below the
	// requests that it had, and ceilingRecovery the time in which the ceiling rises from
	// nothing to all slots.
	ceilingCut      = 0.9
	ceilingRecovery = 20 * time.Second
)

// brittleService is a service whose endpoints crash when they reject too many requests in a
// second. Their slots are divided among the daemons: load reports are too old to tell who
// may use the last ones.
type brittleService struct {
	statedAt   time.Time
	use        float64 // share of the slots in use, smoothed
	rejectedAt time.Time
}

// ObserveRejectionLimit records the rejection limit in an answer of a service's endpoint.
// It reports whether the service became brittle or ceased to be.
func (b *Balancer) ObserveRejectionLimit(now time.Time, service string, l backpressure.Limit) bool {
	s := b.brittle[service]
	switch {
	case l.Presence == backpressure.Valid && s == nil:
		b.brittle[service] = &brittleService{statedAt: now, use: b.use(service)}
		return true
	case l.Presence == backpressure.Valid:
		s.statedAt = now
	case l.Presence == backpressure.Absent && s != nil && now.Sub(s.statedAt) > brittleHold:
		delete(b.brittle, service)
		return true
	}
	return false
}

// use returns the share of a service's slots that are in use, by the last load report.
func (b *Balancer) use(service string) float64 {
	running := 0
	for _, m := range b.active[service] {
		running += m.running()
	}
	return float64(running) / float64(max(b.slots[service], 1))
}

// updateUse takes a new load report into account.
func (b *Balancer) updateUse() {
	for service, s := range b.brittle {
		s.use += useStep * (b.use(service) - s.use)
	}
}

// overbooking returns how many times the slots of a service's endpoints may be divided
// among the daemons. Before the first load report it isn't known how many are in use.
func (b *Balancer) overbooking(now time.Time, service string, s *brittleService) float64 {
	if !b.reported || !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < strictTime {
		return 1
	}
	return max(targetUse/max(s.use, b.ownUse(service), minUse), 1)
}

// ownUse returns the share of a service's slots that would be in use if all daemons had as
// many requests there as this one. It is newer than the load reports.
func (b *Balancer) ownUse(service string) float64 {
	return float64(b.ownRunning[service]*b.fleetSize()) / float64(max(b.slots[service], 1))
}

// fleetSize returns the number of serving daemons.
func (b *Balancer) fleetSize() int {
	if b.fleet == nil {
		return unknownFleetSize
	}
	return b.fleet.Size()
}

// ceiling returns the requests that a brittle endpoint should have at most.
func (m *member) ceiling(now time.Time) float64 {
	slots := float64(max(m.Slots, 1))
	if m.rejectedAt.IsZero() {
		return slots
	}
	return min(m.ceilingAtRejection+slots*now.Sub(m.rejectedAt).Seconds()/ceilingRecovery.Seconds(), slots)
}

// slotShare returns how many requests this daemon may have at a brittle endpoint. The
// daemons' shares add up to its ceiling, times the overbooking; what can't be divided evenly
// goes to the daemons that rendezvous hashing ranks first.
func (b *Balancer) slotShare(now time.Time, m *member, s *brittleService) int {
	daemons, rank := b.fleetSize(), unknownFleetSize
	if b.fleet != nil {
		rank = b.rankAt(m)
	}
	slots := int(m.ceiling(now) * b.overbooking(now, m.Service, s))
	share := slots / daemons
	if rank < slots%daemons {
		share++
	}
	return share
}

// rankAt returns this daemon's rank among all for an endpoint.
func (b *Balancer) rankAt(m *member) int {
	if m.rankedIn != b.fleet {
		m.rankedIn, m.rank = b.fleet, b.fleet.Rank(m.hash)
	}
	return m.rank
}

// withOwnSlots returns the endpoints of a brittle service where this daemon has free slots
// of its own. The slice is reused.
func (b *Balancer) withOwnSlots(now time.Time, r *Request, s *brittleService) []*member {
	b.scratch = b.scratch[:0]
	for _, m := range b.eligible(r) {
		if now.Before(m.backoffUntil) || m.own.Requests >= b.slotShare(now, m, s) {
			continue
		}
		b.scratch = append(b.scratch, m)
	}
	return b.scratch
}

// rejected records that a brittle endpoint rejected a request for lack of room.
func (b *Balancer) rejected(now time.Time, m *member, s *brittleService) {
	m.ceilingAtRejection = ceilingCut * min(m.ceiling(now), float64(max(m.running(), 1)))
	m.rejectedAt, s.rejectedAt = now, now
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	m.backoffUntil = now.Add(m.backoff + time.Duration(b.rng.Float64()*float64(m.backoff)))
}
