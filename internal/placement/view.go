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
	sites    []*site
	held     map[Replica]bool // all that engines report
	result   Result
}

// site is an engine with what is planned for it.
type site struct {
	*Engine
	role  string
	room  int     // still free
	load  float64 // tokens a second expected on it
	holds map[fleet.ModelRef]Held
}

// survey matches wants with what engines hold.
func (p *Planner) survey(now time.Time, wants []Want, engines []Engine) *view {
	v := &view{
		byModel:  make(map[fleet.ModelRef]*need, len(wants)),
		families: make(map[family]*need, len(wants)),
		serving:  make(map[family]int),
		held:     make(map[Replica]bool),
	}
	dataCentres := make(map[fleet.DataCentre]bool)
	for i := range engines {
		e := &engines[i]
		v.sites = append(v.sites, &site{Engine: e, role: e.Role, room: e.Room, holds: make(map[fleet.ModelRef]Held, e.Room)})
		if !e.Leaving {
			dataCentres[e.DataCentre] = true
		}
	}
	for _, w := range wants {
		n := &need{Want: w, count: w.replicas(&p.cfg), floor: w.floor(&p.cfg), held: make(map[fleet.DataCentre]int)}
		n.spread(len(dataCentres))
		v.needs = append(v.needs, n)
		v.byModel[w.Model] = n
		v.families[familyOf(w.Model)] = n
	}
	for _, s := range v.sites {
		for _, h := range s.Holds {
			p.see(now, v, s, h)
		}
	}
	p.seeOrdered(now, v)
	return v
}

// see counts one replica that an engine reports.
func (p *Planner) see(now time.Time, v *view, s *site, h Held) {
	r := Replica{s.ID, h.Model}
	v.held[r] = true
	delete(p.ordered, r)
	s.holds[h.Model] = h
	s.room--
	if s.Leaving {
		return
	}
	if h.Ready {
		delete(p.loading, r)
		v.serving[familyOf(h.Model)]++
	} else if now.Sub(since(p.loading, r, now)) > p.cfg.StuckAfter {
		// A load that never ends would be counted for ever and its model
		// served by too few; the engine is passed over for it.
		p.avoid[r] = now.Add(p.cfg.AvoidFor)
		return
	}
	v.count(s, h)
}

// seeOrdered counts loads that engines have not reported yet. One without
// effect is forgotten, and its place chosen anew.
func (p *Planner) seeOrdered(now time.Time, v *view) {
	for _, s := range v.sites {
		for _, n := range v.needs {
			at, ok := p.ordered[Replica{s.ID, n.Model}]
			if !ok || s.Leaving {
				continue
			}
			if now.Sub(at) >= p.cfg.RepeatAfter {
				delete(p.ordered, Replica{s.ID, n.Model})
				continue
			}
			h := Held{Model: n.Model}
			s.holds[n.Model] = h
			s.room--
			v.count(s, h)
		}
	}
}

// count adds a replica to the need it serves.
func (v *view) count(s *site, h Held) {
	n := v.byModel[h.Model]
	if n == nil {
		return
	}
	n.held[s.DataCentre]++
	if h.Ready {
		n.ready++
	}
	s.load += n.Load / float64(n.count)
}

func (v *view) order(s *site, kind engineapi.OrderKind, m fleet.ModelRef) {
	v.result.Orders = append(v.result.Orders, Order{Engine: s.ID, Kind: kind, Model: m, Role: s.role})
}

// again keeps the earliest time for the next plan.
func (v *view) again(t time.Time) {
	if v.result.Again.IsZero() || t.Before(v.result.Again) {
		v.result.Again = t
	}
}
