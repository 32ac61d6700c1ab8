package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// orderLoads orders loads, the most urgent first, until the weight store is busy.
func (p *Planner) orderLoads(now time.Time, v *view) {
	for n := p.mostUrgent(now, v); n != nil; n = p.mostUrgent(now, v) {
		s := p.chooseEngine(v, n)
		if s == nil {
			p.resolveBlocked(now, v, n)
			continue
		}
		if p.storeFreeAt.After(now) {
			v.planBy(p.storeFreeAt)
			return
		}
		p.orderLoad(now, v, n, s)
	}
}

// mostUrgent returns the most urgent need that lacks replicas, nil if there is none.
func (p *Planner) mostUrgent(now time.Time, v *view) *need {
	var best *need
	for _, n := range v.needs {
		if n.blocked || n.missing() <= 0 {
			continue
		}
		if early := n.NeedBy.Add(-p.cfg.LeadTime); now.Before(early) {
			v.planBy(early)
			continue
		}
		if best == nil || n.before(best, now, &p.cfg) {
			best = n
		}
	}
	return best
}

// orderLoad orders a load of n on an engine, and the engine's role before it where
// that isn't set.
func (p *Planner) orderLoad(now time.Time, v *view, n *need, s *engineState) {
	if s.role != n.Role && n.Role != "" {
		s.role = n.Role
		v.addOrder(s, engineapi.SetRole, fleet.ModelRef{})
	}
	v.addOrder(s, engineapi.LoadModel, n.Model)
	p.ordered[Replica{s.ID, n.Model}] = now
	p.storeFreeAt = now.Add(time.Duration(float64(n.Bytes) / p.cfg.WeightRate * float64(time.Second)))
	v.planBy(now.Add(p.cfg.RetryAfter))
	h := Held{Model: n.Model}
	s.models[n.Model] = h
	s.free--
	v.addReplica(s, h)
}

// resolveBlocked handles a need that no engine can take: it makes room, or allows
// more of its replicas in one data centre, or gives up for this plan.
func (p *Planner) resolveBlocked(now time.Time, v *view, n *need) {
	switch {
	case p.makeRoom(now, v, n):
		n.blocked = true
	case n.maxPerDataCentre < n.wanted:
		n.maxPerDataCentre++
	default:
		n.blocked = true
		v.result.Unplaced = append(v.result.Unplaced, n.Model)
	}
}

// chooseEngine returns the engine for the next replica of n, nil if none can take
// it: in the data centre with the fewest of them, there the least loaded one, and
// among equals the first by rendezvous hashing, which is the same for every planner.
func (p *Planner) chooseEngine(v *view, n *need) *engineState {
	var best *engineState
	key := rendezvous.Key(n.Model.Model + "\x00" + n.Model.Adapter + "\x00" + n.Model.Version)
	for _, s := range v.engines {
		if s.free <= 0 || !p.fits(s, n) {
			continue
		}
		if best == nil || better(s, best, n, key) {
			best = s
		}
	}
	return best
}

// better reports whether a is to be chosen before b.
func better(a, b *engineState, n *need, key uint64) bool {
	if x, y := n.held[a.DataCentre], n.held[b.DataCentre]; x != y {
		return x < y
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return rendezvous.Score(key, string(a.ID)) > rendezvous.Score(key, string(b.ID))
}

// fits reports whether s may take a replica of n, apart from its free room.
func (p *Planner) fits(s *engineState, n *need) bool {
	if s.Leaving || n.Role != "" && s.role != "" && s.role != n.Role {
		return false
	}
	if _, holds := s.models[n.Model]; holds {
		return false
	}
	_, avoid := p.avoid[Replica{s.ID, n.Model}]
	return !avoid && n.held[s.DataCentre] < n.maxPerDataCentre
}
