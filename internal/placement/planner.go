package placement

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Planner plans one shard's engines. Its own state is soft: a successor starts
// without it and works the same orders out from what engines report.
type Planner struct {
	cfg         Config
	ordered     map[Replica]time.Time // loads given, until the engine reports them
	loading     map[Replica]time.Time // reported as loading, since when
	avoid       map[Replica]time.Time // refused or stuck loads, until when to pass the engine over
	draining    map[Replica]time.Time // since when
	unwanted    map[Replica]time.Time // since when
	storeFreeAt time.Time             // when the weight store has given out all that was ordered
}

// New returns a planner.
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

// Failed reports that an engine refused a load, or lost it.
func (p *Planner) Failed(now time.Time, r Replica) {
	delete(p.ordered, r)
	p.avoid[r] = now.Add(p.cfg.AvoidFor)
}

// Plan returns the orders to give now. Call it at Result.Again, and when wants
// or reports have changed.
func (p *Planner) Plan(now time.Time, wants []Want, engines []Engine) Result {
	v := p.newView(now, wants, engines)
	p.orderLoads(now, v)
	p.removeUnwanted(now, v)
	p.prune(now, v)
	return v.result
}

// prune drops what the planner remembers about replicas that are no more.
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
			delete(p.draining, r) // it may serve again, so draining starts anew
		}
	}
}

// since returns when r entered m, which is now if it was not in it.
func since(m map[Replica]time.Time, r Replica, now time.Time) time.Time {
	t, ok := m[r]
	if !ok {
		t = now
		m[r] = t
	}
	return t
}

// family names a model and adapter whatever the version.
type family struct{ model, adapter string }

func familyOf(m fleet.ModelRef) family { return family{m.Model, m.Adapter} }
