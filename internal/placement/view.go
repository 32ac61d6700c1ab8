package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// view is one plan in the making.
type view struct {
	needs    []*need
	byModel  map[fleet.ModelRef]*need
	families map[family]*need // the need that versions of a family are replaced by
	serving  map[family]int   // ready and not draining, any version
	engines  []*engineState
	reported map[Replica]bool // all that engines report
	result   Result
}

// engineState is an engine with what is planned for it.
type engineState struct {
	*Engine
	role  string
	free  int     // still free
	load  float64 // tokens a second expected on it
	holds map[fleet.ModelRef]Held
}

// newView matches wants with what engines hold.
func (p *Planner) newView(now time.Time, wants []Want, engines []Engine) *view {
	v := &view{
		byModel:  make(map[fleet.ModelRef]*need, len(wants)),
		families: make(map[family]*need, len(wants)),
		serving:  make(map[family]int),
		reported: make(map[Replica]bool),
	}
	dataCentres := make(map[fleet.DataCentre]bool)
	for i := range engines {
		e := &engines[i]
		v.engines = append(v.engines, &engineState{Engine: e, role: e.Role, free: e.Capacity, holds: make(map[fleet.ModelRef]Held, e.Capacity)})
		if !e.Leaving {
			dataCentres[e.DataCentre] = true
		}
	}
	for _, w := range wants {
		n := &need{Want: w, wanted: w.replicas(&p.cfg), floor: w.floor(&p.cfg), held: make(map[fleet.DataCentre]int)}
		n.setSpread(len(dataCentres))
		v.needs = append(v.needs, n)
		v.byModel[w.Model] = n
		v.families[familyOf(w.Model)] = n
	}
	for _, s := range v.engines {
		for _, h := range s.Holds {
			p.addReported(now, v, s, h)
		}
	}
	p.addOrdered(now, v)
	return v
}

// addReported counts one replica that an engine reports.
func (p *Planner) addReported(now time.Time, v *view, s *engineState, h Held) {
	r := Replica{s.ID, h.Model}
	v.reported[r] = true
	delete(p.ordered, r)
	s.holds[h.Model] = h
	s.free--
	if s.Leaving {
		return
	}
	if h.Ready {
		delete(p.loading, r)
		v.serving[familyOf(h.Model)]++
	} else if now.Sub(since(p.loading, r, now)) > p.cfg.LoadTimeout {
		// A load that never ends would be counted for ever and its model
		// served by too few; the engine is passed over for it.
		p.avoid[r] = now.Add(p.cfg.AvoidFor)
		return
	}
	v.addReplica(s, h)
}

// addOrdered counts loads that engines have not reported yet. One without
// effect is forgotten, and its place chosen anew.
func (p *Planner) addOrdered(now time.Time, v *view) {
	for _, s := range v.engines {
		for _, n := range v.needs {
			at, ok := p.ordered[Replica{s.ID, n.Model}]
			if !ok || s.Leaving {
				continue
			}
			if now.Sub(at) >= p.cfg.RetryAfter {
				delete(p.ordered, Replica{s.ID, n.Model})
				continue
			}
			h := Held{Model: n.Model}
			s.holds[n.Model] = h
			s.free--
			v.addReplica(s, h)
		}
	}
}

// addReplica adds a replica to the need it serves.
func (v *view) addReplica(s *engineState, h Held) {
	n := v.byModel[h.Model]
	if n == nil {
		return
	}
	n.held[s.DataCentre]++
	if h.Ready {
		n.ready++
	}
	s.load += n.Load / float64(n.wanted)
}

func (v *view) addOrder(s *engineState, kind engineapi.OrderKind, m fleet.ModelRef) {
	v.result.Orders = append(v.result.Orders, Order{Engine: s.ID, Kind: kind, Model: m, Role: s.role})
}

// planBy keeps the earliest time for the next plan.
func (v *view) planBy(t time.Time) {
	if v.result.NextPlan.IsZero() || t.Before(v.result.NextPlan) {
		v.result.NextPlan = t
	}
}
