package scaling

import (
	"time"
)

// supply tracks the orders, refusals and losses of endpoints at each place.
type supply struct {
	places   map[Place]*placeState
	observed bool // a sample was observed before
	hazard   hazard
	// lastShortage is when reclaimable endpoints were last reclaimed or refused.
	lastShortage time.Time
}

// placeState is the last order and the last sample of a place.
type placeState struct {
	ordered   int       // count of the last order
	isOrdered bool      // there is a last order
	orderedAt time.Time // of the last order
	refusedAt time.Time // of the last order; zero: it wasn't refused
	serving   int       // endpoints in the last sample
	leaving   int       // endpoints under notice or draining in the last sample
}

func newSupply() *supply { return &supply{places: map[Place]*placeState{}} }

func (sup *supply) state(p Place) *placeState {
	st := sup.places[p]
	if st == nil {
		st = &placeState{}
		sup.places[p] = st
	}
	return st
}

// observe takes a sample and counts the data centres whose reclaimable endpoints
// were reclaimed: there are fewer than in the last sample and than ordered, and more
// are under notice, or more than one and at least half are gone at once. A single
// one that vanishes without notice has crashed. In the first sample, a data centre
// whose endpoints are all leaving counts too: the previous planner may have failed
// during a wave.
func (sup *supply) observe(now time.Time, s *Sample) {
	for dc := range s.Service.Scaling.OnDemandPrices {
		place := Place{dc, true}
		st := sup.state(place)
		serving, leaving := s.Serving[place], s.Leaving[place]
		lost := st.serving - serving
		announced := leaving > st.leaving
		reclaimed := lost > 0 && serving < st.ordered && (announced || lost > 1 && 2*lost >= st.serving)
		if reclaimed || !sup.observed && leaving > 0 && serving == 0 {
			sup.hazard.recordLoss(now)
			sup.lastShortage = now
		}
		st.serving, st.leaving = serving, leaving
	}
	sup.observed = true
}

// recordOrder records an order as the last one for its place.
func (sup *supply) recordOrder(now time.Time, ord Order) {
	st := sup.state(ord.Place)
	st.ordered, st.isOrdered, st.orderedAt, st.refusedAt = ord.Count, true, now, time.Time{}
}

// recordRefusal records that the last order was refused.
func (sup *supply) recordRefusal(now time.Time, ord Order) {
	sup.state(ord.Place).refusedAt = now
	if ord.Spot {
		sup.lastShortage = now
	}
}

// forgetOrder drops the last order for a place, so that it can become due again.
func (sup *supply) forgetOrder(p Place) {
	st := sup.state(p)
	st.isOrdered, st.refusedAt = false, time.Time{}
}

// inWave reports whether reclaimable endpoints were reclaimed or refused within the
// last waveDuration.
func (sup *supply) inWave(now time.Time) bool {
	return !sup.lastShortage.IsZero() && now.Sub(sup.lastShortage) < waveDuration
}

// starting returns how many endpoints of the last order may still be starting.
func (sup *supply) starting(now time.Time, s *Sample, p Place) int {
	st := sup.state(p)
	if !st.isOrdered || !st.refusedAt.IsZero() || now.Sub(st.orderedAt) >= s.Service.Scaling.BootTime+bootSlack {
		return 0
	}
	return max(st.ordered-s.Serving[p], 0)
}

// recentlyRefused reports whether the last order for a place was refused within
// refusalAvoidTime.
func (sup *supply) recentlyRefused(now time.Time, p Place) bool {
	st := sup.state(p)
	return !st.refusedAt.IsZero() && now.Sub(st.refusedAt) < refusalAvoidTime
}
