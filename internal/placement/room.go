package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// makeRoom drains a replica that can be spared, on an engine that n can be loaded
// on. It reports false if there is none.
func (p *Planner) makeRoom(now time.Time, v *view, n *need) bool {
	var from *engineState
	var spare Held
	for _, s := range v.engines {
		if !p.fits(s, n) {
			continue
		}
		for _, h := range s.sortedModels() {
			if v.canSpare(h.Model) && (from == nil || p.preferRemoval(s, h, from, spare)) {
				from, spare = s, h
			}
		}
	}
	if from == nil {
		return false
	}
	p.remove(now, v, from, spare)
	return true
}

// sortedModels returns the engine's models in a fixed order, so that plans are
// deterministic.
func (s *engineState) sortedModels() []Held {
	held := make([]Held, 0, len(s.models))
	for _, h := range s.models {
		held = append(held, h)
	}
	slices.SortFunc(held, func(a, b Held) int {
		return strings.Compare(a.Model.Model+a.Model.Adapter+a.Model.Version, b.Model.Model+b.Model.Adapter+b.Model.Version)
	})
	return held
}

// canSpare reports whether a replica of m can be removed. For a wanted version, more
// replicas than wanted must exist and serve; for another version of a wanted model,
// more replicas than the floor must serve. Any other model can go.
func (v *view) canSpare(m fleet.ModelRef) bool {
	if n := v.byModel[m]; n != nil {
		return n.total() > n.wanted && n.missing() <= 0 && n.ready > n.wanted
	}
	n := v.families[familyOf(m)]
	return n == nil || v.serving[familyOf(m)] > n.floor
}

// preferRemoval reports whether h on s should be removed rather than o on t: the one
// that drains already, otherwise the one with fewer running requests.
func (p *Planner) preferRemoval(s *engineState, h Held, t *engineState, o Held) bool {
	_, a := p.draining[Replica{s.ID, h.Model}]
	_, b := p.draining[Replica{t.ID, o.Model}]
	if a != b {
		return a
	}
	return h.Running < o.Running
}

// remove drains a replica, and unloads it once DrainDelay has passed and no request
// runs on it.
func (p *Planner) remove(now time.Time, v *view, s *engineState, h Held) {
	r := Replica{s.ID, h.Model}
	if h.Ready {
		v.serving[familyOf(h.Model)]--
	}
	if n := v.byModel[h.Model]; n != nil {
		n.held[s.DataCentre]--
		n.ready--
	}
	delete(s.models, h.Model)
	drainedAt := since(p.draining, r, now).Add(p.cfg.DrainDelay)
	v.result.Drain = append(v.result.Drain, r)
	if now.Before(drainedAt) {
		v.planBy(drainedAt)
		return
	}
	if h.Running == 0 {
		v.addOrder(s, engineapi.UnloadModel, h.Model)
	}
}

// removeUnwanted removes unwanted replicas: those of an old version once enough of
// the new one serve, all others after KeepUnwanted.
func (p *Planner) removeUnwanted(now time.Time, v *view) {
	for _, s := range v.engines {
		for _, h := range s.sortedModels() {
			r := Replica{s.ID, h.Model}
			if v.byModel[h.Model] != nil {
				delete(p.unwanted, r)
				continue
			}
			unwantedSince := since(p.unwanted, r, now)
			if n := v.families[familyOf(h.Model)]; n != nil && n.ready < n.wanted {
				continue
			} else if n == nil && now.Sub(unwantedSince) < p.cfg.KeepUnwanted {
				v.planBy(unwantedSince.Add(p.cfg.KeepUnwanted))
				continue
			}
			p.remove(now, v, s, h)
		}
	}
}
