package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// candidates are the targets of one plan.
type candidates struct {
	all        []*candidate
	leaving    map[fleet.DataCentre]bool
	preferred  map[fleet.ModelRef]*pool // those outside leaving data centres
	fallback   map[fleet.ModelRef]*pool
	exportsEnd map[fleet.EndpointID]time.Time // when the exports planned earlier are over
}

// newCandidates returns the targets that are not under notice, with their free
// capacity less what earlier plans have reserved.
func (p *Planner) newCandidates(targets []Target) *candidates {
	c := &candidates{
		leaving:    p.leavingDataCentres(targets),
		preferred:  make(map[fleet.ModelRef]*pool),
		fallback:   make(map[fleet.ModelRef]*pool),
		exportsEnd: make(map[fleet.EndpointID]time.Time),
	}
	byID := make(map[fleet.EndpointID]*candidate, len(targets))
	for i := range targets {
		t := &targets[i]
		if p.UnderNotice(t.Endpoint) {
			continue
		}
		cand := &candidate{target: t, freeSlots: t.FreeSlots, freeTokens: t.FreeTokens}
		byID[t.Endpoint] = cand
		c.all = append(c.all, cand)
	}
	for _, entry := range p.planned {
		if entry.exportEnd.After(c.exportsEnd[entry.move.From]) {
			c.exportsEnd[entry.move.From] = entry.exportEnd
		}
		if cand := byID[entry.move.To]; cand != nil {
			cand.freeSlots--
			cand.freeTokens -= entry.reservedTokens
		}
	}
	return c
}

// leavingDataCentres returns the data centres with so many endpoints under notice
// that the others are expected to follow: a stream that moved within one would
// soon have to move again.
func (p *Planner) leavingDataCentres(targets []Target) map[fleet.DataCentre]bool {
	all := make(map[fleet.DataCentre]int)
	underNotice := make(map[fleet.DataCentre]int)
	for _, n := range p.notices {
		all[n.DataCentre]++
		underNotice[n.DataCentre]++
	}
	for i := range targets {
		if !p.UnderNotice(targets[i].Endpoint) {
			all[targets[i].DataCentre]++
		}
	}
	out := make(map[fleet.DataCentre]bool)
	for dc, n := range underNotice {
		if float64(n) >= p.policy.LeavingShare*float64(all[dc]) {
			out[dc] = true
		}
	}
	return out
}

// reserve reserves capacity for the stream on a target, preferably one outside
// the leaving data centres. It returns nil if no target has enough.
func (c *candidates) reserve(s Stream) *candidate {
	key := drawKey(s)
	if found := c.pool(c.preferred, s.Model, true).reserve(key, s.prefillTokens()); found != nil {
		return found
	}
	return c.pool(c.fallback, s.Model, false).reserve(key, s.prefillTokens())
}

// pool returns the pool of a model, which it adds to pools if it is not there.
func (c *candidates) pool(pools map[fleet.ModelRef]*pool, model fleet.ModelRef, avoidLeaving bool) *pool {
	if p := pools[model]; p != nil {
		return p
	}
	var serving []*candidate
	for _, cand := range c.all {
		if cand.target.serves(model) && !(avoidLeaving && c.leaving[cand.target.DataCentre]) {
			serving = append(serving, cand)
		}
	}
	p := newPool(serving)
	pools[model] = p
	return p
}
