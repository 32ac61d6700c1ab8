package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// load gives out loads, the most urgent first, as long as the weight store has
// nothing left to give out.
func (p *Planner) load(now time.Time, v *view) {
	for n := p.next(now, v); n != nil; n = p.next(now, v) {
		s := p.choose(v, n)
		if s == nil {
			p.block(now, v, n)
			continue
		}
		if p.store.After(now) {
			v.again(p.store)
			return
		}
		p.loadOn(now, v, n, s)
	}
}

// next returns the most urgent need that misses replicas, nil when there is none.
func (p *Planner) next(now time.Time, v *view) *need {
	var best *need
	for _, n := range v.needs {
		if n.blocked || n.missing() <= 0 {
			continue
		}
		if early := n.NeedBy.Add(-p.cfg.Lead); now.Before(early) {
			v.again(early)
			continue
		}
		if best == nil || n.before(best, now, &p.cfg) {
			best = n
		}
	}
	return best
}

// loadOn orders one replica of n.
func (p *Planner) loadOn(now time.Time, v *view, n *need, s *site) {
	if s.role != n.Role && n.Role != "" {
		s.role = n.Role
		v.order(s, engineapi.SetRole, fleet.ModelRef{})
	}
	v.order(s, engineapi.LoadModel, n.Model)
	p.ordered[Replica{s.ID, n.Model}] = now
	p.store = now.Add(time.Duration(float64(n.Bytes) / p.cfg.WeightRate * float64(time.Second)))
	v.again(now.Add(p.cfg.RepeatAfter))
	h := Held{Model: n.Model}
	s.holds[n.Model] = h
	s.room--
	v.count(s, h)
}

// block makes room for n, or lets more of it into one data centre, or gives up.
func (p *Planner) block(now time.Time, v *view, n *need) {
	switch {
	case p.makeRoom(now, v, n):
		n.blocked = true
	case n.perSite < n.count:
		n.perSite++
	default:
		n.blocked = true
		v.result.Waiting = append(v.result.Waiting, n.Model)
	}
}

// choose returns the engine for the next replica of n: in the data centre
// with the fewest of them, there the least loaded, and among equals the one
// that every planner would choose.
func (p *Planner) choose(v *view, n *need) *site {
	var best *site
	key := rendezvous.Key(n.Model.Model + "\x00" + n.Model.Adapter + "\x00" + n.Model.Version)
	for _, s := range v.sites {
		if s.room <= 0 || !p.fits(s, n) {
			continue
		}
		if best == nil || better(s, best, n, key) {
			best = s
		}
	}
	return best
}

func better(a, b *site, n *need, key uint64) bool {
	if x, y := n.held[a.DataCentre], n.held[b.DataCentre]; x != y {
		return x < y
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return rendezvous.Score(key, string(a.ID)) > rendezvous.Score(key, string(b.ID))
}

// fits reports whether s may hold another replica of n, given room.
func (p *Planner) fits(s *site, n *need) bool {
	if s.Leaving || n.Role != "" && s.role != "" && s.role != n.Role {
		return false
	}
	if _, holds := s.holds[n.Model]; holds {
		return false
	}
	_, avoid := p.avoid[Replica{s.ID, n.Model}]
	return !avoid && n.held[s.DataCentre] < n.perSite
}
