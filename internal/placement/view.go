package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// view is the state of one plan: wants, engines and the result so far.
type view struct {
	needs    []*need
	byModel  map[fleet.ModelRef]*need
	families map[family]*need // the need whose version replaces the others of the family
	serving  map[family]int   // replicas of any version that are ready and not draining
	engines  []*engineState
	reported map[Replica]bool // all replicas that engines report
	result   Result
}

// engineState is an engine after the orders of the plan so far.
type engineState struct {
	*Engine
	role   string
	free   int                     // models that it can still take
	load   float64                 // expected generated tokens a second
	models map[fleet.ModelRef]Held // held after the orders of the plan so far
}

// newView matches wants with the models that engines hold or were ordered to load.
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
		v.engines = append(v.engines, &engineState{Engine: e, role: e.Role, free: e.Capacity, models: make(map[fleet.ModelRef]Held, e.Capacity)})
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

// addReported counts a replica that an engine reports.
func (p *Planner) addReported(now time.Time, v *view, s *engineState, h Held) {
	r := Replica{s.ID, h.Model}
	v.reported[r] = true
	delete(p.ordered, r)
	s.models[h.Model] = h
	s.free--
	if s.Leaving {
		return
	}
	if h.Ready {
		delete(p.loading, r)
		v.serving[familyOf(h.Model)]++
	} else if now.Sub(since(p.loading, r, now)) > p.cfg.LoadTimeout {
		// A load that never ends doesn't count, or its model would be served by too
		// few replicas; the engine isn't chosen for it for a while.
		p.avoid[r] = now.Add(p.cfg.AvoidFor)
		return
	}
	v.addReplica(s, h)
}

// addOrdered counts ordered loads that engines haven't reported yet. One without
// effect for RetryAfter is dropped, and its engine chosen anew.
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
			s.models[n.Model] = h
			s.free--
			v.addReplica(s, h)
		}
	}
}

// addReplica adds a replica to the need that it serves, if any, and its load to the
// engine.
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

// planBy makes t the time of the next plan if it is the earliest so far.
func (v *view) planBy(t time.Time) {
	if v.result.NextPlan.IsZero() || t.Before(v.result.NextPlan) {
		v.result.NextPlan = t
	}
}
