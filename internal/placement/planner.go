package placement

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Planner plans the models of a shard's engines. Its state isn't persisted: a
// successor derives the same orders from what engines report. It is not safe for
// concurrent use.
type Planner struct {
	cfg         Config
	ordered     map[Replica]time.Time // when loads were ordered that engines haven't reported yet
	loading     map[Replica]time.Time // since when an engine reports a load in progress
	avoid       map[Replica]time.Time // until when not to choose an engine for a model, after a failed load
	draining    map[Replica]time.Time // since when a replica drains
	unwanted    map[Replica]time.Time // since when a replica is unwanted
	storeFreeAt time.Time             // when the weight store will have delivered all ordered loads
}

// New returns a planner without state.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		ordered:  make(map[Replica]time.Time),
		loading:  make(map[Replica]time.Time),
		avoid:    make(map[Replica]time.Time),
		draining: make(map[Replica]time.Time),
		unwanted: make(map[Replica]time.Time),
	}
}

// Failed reports that an engine refused or lost a load. The engine isn't chosen for
// the model again for Config.AvoidFor.
func (p *Planner) Failed(now time.Time, r Replica) {
	delete(p.ordered, r)
	p.avoid[r] = now.Add(p.cfg.AvoidFor)
}

// Plan returns the orders to send now. Call it again at Result.NextPlan, and when
// wants or reports have changed.
func (p *Planner) Plan(now time.Time, wants []Want, engines []Engine) Result {
	v := p.newView(now, wants, engines)
	p.orderLoads(now, v)
	p.removeUnwanted(now, v)
	p.prune(now, v)
	return v.result
}

// prune drops the state of replicas to which it no longer applies.
func (p *Planner) prune(now time.Time, v *view) {
	for r, until := range p.avoid {
		if !now.Before(until) {
			delete(p.avoid, r)
		}
	}
	for _, m := range []map[Replica]time.Time{p.loading, p.unwanted} {
		for r := range m {
			if !v.reported[r] {
				delete(m, r)
			}
		}
	}
	for r := range p.draining {
		if !slices.Contains(v.result.Drain, r) {
			delete(p.draining, r) // it may get requests again, so that a later drain starts anew
		}
	}
}

// since returns the time of r in m, after setting it to now if r is missing.
func since(m map[Replica]time.Time, r Replica, now time.Time) time.Time {
	t, ok := m[r]
	if !ok {
		t = now
		m[r] = t
	}
	return t
}

// family identifies a model and adapter regardless of the version.
type family struct{ model, adapter string }

func familyOf(m fleet.ModelRef) family { return family{m.Model, m.Adapter} }
