package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// market is the targets of one plan with the room that is left on them.
type market struct {
	rooms   []*room
	leaving map[fleet.DataCentre]bool
	safe    map[fleet.ModelRef]*pool // outside leaving data centres
	any     map[fleet.ModelRef]*pool
	busy    map[fleet.EndpointID]time.Time // when the exports planned before are over
}

// market takes the targets that are not under notice, less what is reserved.
func (p *Planner) market(targets []Target) *market {
	m := &market{
		leaving: p.leavingCentres(targets),
		safe:    make(map[fleet.ModelRef]*pool),
		any:     make(map[fleet.ModelRef]*pool),
		busy:    make(map[fleet.EndpointID]time.Time),
	}
	byID := make(map[fleet.EndpointID]*room, len(targets))
	for i := range targets {
		t := &targets[i]
		if p.Noticed(t.Endpoint) {
			continue
		}
		r := &room{target: t, slots: t.FreeSlots, tokens: t.FreeTokens}
		byID[t.Endpoint] = r
		m.rooms = append(m.rooms, r)
	}
	for _, known := range p.planned {
		if known.ends.After(m.busy[known.move.From]) {
			m.busy[known.move.From] = known.ends
		}
		if r := byID[known.move.To]; r != nil {
			r.slots--
			r.tokens -= known.tokens
		}
	}
	return m
}

// leavingCentres returns the data centres of which so many endpoints are under
// notice that the rest is expected to follow: a stream moved within one would
// soon have to move again.
func (p *Planner) leavingCentres(targets []Target) map[fleet.DataCentre]bool {
	all := make(map[fleet.DataCentre]int)
	noticed := make(map[fleet.DataCentre]int)
	for _, n := range p.notices {
		all[n.DataCentre]++
		noticed[n.DataCentre]++
	}
	for i := range targets {
		if !p.Noticed(targets[i].Endpoint) {
			all[targets[i].DataCentre]++
		}
	}
	out := make(map[fleet.DataCentre]bool)
	for dc, n := range noticed {
		if float64(n) >= p.policy.LeavingShare*float64(all[dc]) {
			out[dc] = true
		}
	}
	return out
}

// take reserves a target for the stream, nil where none has room. One outside
// the leaving data centres is preferred.
func (m *market) take(s Stream) *room {
	key := keyOf(s)
	if r := m.pool(m.safe, s.Model, true).take(key, s.tokens()); r != nil {
		return r
	}
	return m.pool(m.any, s.Model, false).take(key, s.tokens())
}

func (m *market) pool(pools map[fleet.ModelRef]*pool, model fleet.ModelRef, safe bool) *pool {
	if known := pools[model]; known != nil {
		return known
	}
	var fit []*room
	for _, r := range m.rooms {
		if r.target.serves(model) && !(safe && m.leaving[r.target.DataCentre]) {
			fit = append(fit, r)
		}
	}
	made := newPool(fit)
	pools[model] = made
	return made
}
