package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// addOnDemand adds the on-demand endpoints of each data centre to wanted.
func (p *Planner) addOnDemand(now time.Time, s *Sample, wanted map[Place]int) {
	p.placeOnDemand(now, s, p.onDemandCount(now, s), wanted)
}

// onDemandCount returns how many on-demand endpoints there should be. It rises to
// the need at once. It falls once enough reclaimable endpoints serve (not only
// start), or, during a wave, where these may be reclaimed next, by half of the
// difference after each scaleDownDelay.
func (p *Planner) onDemandCount(now time.Time, s *Sample) int {
	needed := p.onDemandNeeded(now, s)
	switch {
	case p.loadedSince.IsZero() || needed >= p.onDemand:
		p.onDemand, p.fewerOnDemandSince = needed, time.Time{}
	case p.settling(now):
	case !p.supply.inWave(now):
		keep := max(int(math.Ceil(p.estimatedNeed()))-p.reclaimableAfter(now, s, 0, false), 0)
		p.onDemand, p.fewerOnDemandSince = max(needed, min(keep, p.onDemand)), time.Time{}
	case p.fewerOnDemandSince.IsZero():
		p.fewerOnDemandSince = now
	case now.Sub(p.fewerOnDemandSince) > scaleDownDelay:
		p.onDemand, p.fewerOnDemandSince = (p.onDemand+needed)/2, now
	}
	return p.onDemand
}

// onDemandNeeded returns how many on-demand endpoints are needed beside the
// reclaimable ones: now at targetUtilisation, or after the covered losses at
// maxUtilisation, whichever is more.
func (p *Planner) onDemandNeeded(now time.Time, s *Sample) int {
	horizon := s.Service.Scaling.BootTime + bootSlack
	covered := p.supply.hazard.lossesToCover(now, horizon, len(s.Service.Scaling.OnDemandPrices))
	all := p.reclaimableAfter(now, s, 0, true)
	remaining := p.reclaimableAfter(now, s, covered, true)
	lost := float64(all-remaining) / float64(max(all+p.onDemandPresent(now, s), 1))
	missing := max(int(math.Ceil(p.estimatedNeed()))-all, 0)
	return max(missing, p.shortfall(remaining, lost))
}

// shortfall returns how many endpoints are missing beside the remaining ones at
// maxUtilisation, after the loss of a share of all endpoints.
func (p *Planner) shortfall(remaining int, lost float64) int {
	return max(int(math.Ceil(p.needAfterLoss(lost)*targetUtilisation/maxUtilisation))-remaining, 0)
}

// reclaimableAfter returns how many reclaimable endpoints remain after the losses
// of the data centres with the most of them. starting says whether those that still
// start count.
func (p *Planner) reclaimableAfter(now time.Time, s *Sample, losses int, starting bool) int {
	var counts []int
	for dc := range s.Service.Scaling.OnDemandPrices {
		place := Place{dc, true}
		n := s.Serving[place]
		if starting {
			n += p.supply.starting(now, s, place)
		}
		counts = append(counts, n)
	}
	slices.Sort(counts)
	sum := 0
	for _, n := range counts[:max(len(counts)-losses, 0)] {
		sum += n
	}
	return sum
}

// onDemandPresent returns the number of on-demand endpoints that serve or start.
func (p *Planner) onDemandPresent(now time.Time, s *Sample) int {
	n := 0
	for dc := range s.Service.Scaling.OnDemandPrices {
		place := Place{dc, false}
		n += s.Serving[place] + p.supply.starting(now, s, place)
	}
	return n
}

// placeOnDemand adds count on-demand endpoints to wanted: first where they already
// serve or start, then in the cheapest data centres that have room and didn't
// refuse recently. A data centre gets at most half of them, so that its loss leaves
// the others, and more than that only if the others are full.
func (p *Planner) placeOnDemand(now time.Time, s *Sample, count int, wanted map[Place]int) {
	half := (count + 1) / 2
	for _, dc := range byPrice(s) {
		place := Place{dc, false}
		keep := min(s.Serving[place]+p.supply.starting(now, s, place), count)
		wanted[place] = keep
		count -= keep
	}
	for _, limit := range [...]int{half, s.Service.Scaling.Max} {
		for _, dc := range byPrice(s) {
			place := Place{dc, false}
			room := min(limit, s.Service.Scaling.Max-s.Serving[Place{dc, true}]) - wanted[place]
			if more := min(room, count); more > 0 && !p.supply.recentlyRefused(now, place) {
				wanted[place] += more
				count -= more
			}
		}
	}
}

// byPrice returns the data centres, the cheapest first.
func byPrice(s *Sample) []fleet.DataCentre {
	prices := s.Service.Scaling.OnDemandPrices
	return slices.SortedFunc(maps.Keys(prices), func(a, b fleet.DataCentre) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
}
