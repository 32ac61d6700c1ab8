package node

import (
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// observer implements relay.Observer.
type observer struct{ node *Node }

// Began implements relay.Observer. The time is converted to the fleet's clock.
func (o *observer) Began(w fleet.WorkspaceID, at time.Time) {
	o.node.begun.add(w, o.node.clock.Now().Add(-time.Since(at)))
}

// Cut implements relay.Observer.
func (o *observer) Cut(c ends.Disconnect) { o.node.crashes.watch.Disconnected(c) }

// RateLimited implements relay.Observer.
func (o *observer) RateLimited(e fleet.EndpointID, l backpressure.Limit) {
	log := o.node.logFor("endpoints").WithField("endpoint", e)
	if l.Presence == backpressure.Absent {
		log.Info("endpoint's rate limit ended")
		return
	}
	log.WithField("per_second", l.PerSecond).Warn("endpoint limits its requests")
}

// Resting implements relay.Observer.
func (o *observer) Resting(e fleet.EndpointID, rest time.Duration) {
	o.node.metrics.set.GetOrCreateCounter(`cyclamenbeam_answers_asking_for_rest_total`).Inc()
	o.node.requests.rested(e, rest)
}

// Leaving implements relay.Observer.
func (o *observer) Leaving(e *roster.Endpoint) {
	o.node.metrics.set.GetOrCreateCounter(`cyclamenbeam_answers_leaving_total`).Inc()
	if _, leaving := o.node.endpoints.state(e.ID); !leaving {
		o.node.logFor("endpoints").WithField("endpoint", e.ID).Info("endpoint's answer says that it leaves")
	}
	o.node.endpoints.applyLeaves()
}

// RejectionsLimited implements relay.Observer.
func (o *observer) RejectionsLimited(service string, l backpressure.Limit) {
	log := o.node.logFor("endpoints").WithField("service", service)
	if l.Presence == backpressure.Absent {
		log.Info("service's endpoints are no longer brittle")
		return
	}
	log.WithField("rejections_per_second", l.PerSecond).Warn("service's endpoints are brittle")
}

// InvalidAnswer implements relay.Observer.
func (o *observer) InvalidAnswer(a *relay.InvalidAnswer) {
	o.node.metrics.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_invalid_answers_total{service=%q,kind=%q}`, a.Service, a.Kind)).Inc()
	o.node.metrics.invalid.add(a.Endpoint, a.Kind)
	o.node.requests.invalid(a)
}

// Ended implements relay.Observer.
func (o *observer) Ended(out *relay.Outcome) {
	o.node.metrics.ended(out)
	o.node.requests.add(out)
}
