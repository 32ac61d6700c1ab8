package daemon

import (
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// drains is the operators' wishes about endpoints. Safe for concurrent use.
type drains struct {
	mu  sync.Mutex
	set *drain.Set
}

func newDrains() *drains { return &drains{set: drain.NewSet()} }

// apply takes objects of the store; others than drains are left out. It
// reports whether some endpoint's state changed.
func (d *drains) apply(objects []objectapi.Object) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, o := range objects {
		if o.Kind != drain.Kind {
			continue
		}
		if r, err := drain.RecordOf(o); err == nil && d.set.Apply(r) {
			changed = true
		}
	}
	return changed
}

func (d *drains) draining(id fleet.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Draining(id)
}

// mark returns the list with drained endpoints as leaving, so that they get no
// new work and finish what they have.
func (d *drains) mark(list []fleet.Endpoint) []fleet.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]fleet.Endpoint, len(list))
	for i, e := range list {
		if d.set.Draining(e.ID) {
			e.State = fleet.Leaving
		}
		out[i] = e
	}
	return out
}
