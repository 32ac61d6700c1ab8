package daemon

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// controlShards returns the shards of the duties that need a lease.
func controlShards() []lease.Shard {
	return append(lease.Shards(placementDuty, 1), lease.Shards(capacityDuty, 1)...)
}

// wireControl makes the duties that need a lease.
func (d *Daemon) wireControl(client *endpoint.Engines) {
	s := &d.settings
	d.leasing = newLeasingDuty(d.run, controlShards(), d.platform.Objects, s.Control.StartSpread, logging.For(d.log, logging.Capacity))
	d.leasing.onHeld = d.platform.SetLeaseRole
	d.leasing.ready = func() bool { return d.state.NotReady() == "" }
	d.leasing.alive = d.roster.candidates
	d.placer = &placer{
		leases:        d.leasing,
		routing:       d.routing,
		observing:     d.observing,
		engines:       client,
		weights:       d.platform.Weights,
		configuration: d.configuration,
		room:          s.Placement.ModelsPerEngine,
		bytes:         make(map[fleet.ModelRef]int64),
		log:           logging.For(d.log, logging.Capacity),
	}
}

func (d *Daemon) dispatchOptions(client *endpoint.Engines) dispatch.Options {
	s := &d.settings
	policy := request.DefaultPolicy()
	policy.DispatchTimeout = s.Routing.FirstToken
	policy.ProgressTimeout = s.Routing.BetweenTokens
	return dispatch.Options{
		Instance: s.Instance,
		Daemon:   d.run,
		// The lifecycle watches each stream's progress; the client's own deadlines
		// are the second line, for what never reaches the lifecycle.
		Engines:    &engines{client: client, first: 2 * policy.DispatchTimeout, between: 2 * policy.ProgressTimeout},
		Router:     d.routing,
		Quarantine: d.crashes,
		Admission:  d.admission,
		Locator:    d.locator,
		Intents:    d.ledger,
		Peers:      &handoverPeers{roster: d.roster, client: d.peers},
		NonIdempotent: func(m fleet.ModelRef, w fleet.WorkspaceID) bool {
			model, ok := d.configuration.model(w, m)
			return ok && model.NonIdempotent
		},
		Model: func(w fleet.WorkspaceID, m fleet.ModelRef) (fleet.ModelRef, bool) {
			model, ok := d.configuration.model(w, m)
			return d.served(model, m.Version), ok
		},
		Priority:      d.configuration.priority,
		Observer:      d.metrics,
		Policy:        policy,
		CallerAddress: d.roster.callersAddress,
		Timeout:       s.Limits.RequestTimeout,
		Limits:        request.TableLimits{Live: s.Limits.MaxRequests, Bytes: int(s.Limits.RetainBytes), Retention: s.Limits.Retain},
		Log:           logging.For(d.log, logging.Dispatch),
	}
}

// served returns the model that a request goes to: the template's version once
// as many engines hold it as the template wants, any version before. Without
// that, an amended template would send every request to the first engine that
// has loaded the new version, or to none.
func (d *Daemon) served(m template.Model, asked string) fleet.ModelRef {
	if asked != "" || m.Ref.Version == "" {
		return m.Ref
	}
	list := d.routing.current.Load().list
	any := fleet.ModelRef{Model: m.Ref.Model, Adapter: m.Ref.Adapter}
	if have := replicas(list, m.Ref); have >= m.MinReplicas || have == replicas(list, any) {
		return m.Ref
	}
	return any
}
