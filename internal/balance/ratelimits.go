package balance

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// SetFleet sets the running daemons, with which the endpoints' rate limits are shared. Until
// then this daemon sends nothing to an endpoint with a limit.
func (b *Balancer) SetFleet(now time.Time, self fleet.DaemonID, running []fleet.DaemonID) {
	b.fleet = backpressure.NewFleet(self, running)
	b.applyRateLimits(now)
}

// ObserveRateLimit records the rate limit in an answer of an endpoint to a request sent at
// some time. It reports whether the endpoint's limit changed.
func (b *Balancer) ObserveRateLimit(now, sent time.Time, e *roster.Endpoint, l backpressure.Limit) bool {
	changed := b.rateLimits.Observe(now, sent, rendezvous.ShortKeyOf(string(e.ID)), e.StartedAt, l)
	if changed {
		b.applyRateLimits(now)
	}
	return changed
}

// ObserveLeaving records that an answer of an endpoint says that it leaves. It reports whether
// that is new.
func (b *Balancer) ObserveLeaving(now time.Time, e *roster.Endpoint) bool {
	return b.rateLimits.ObserveLeaving(now, rendezvous.ShortKeyOf(string(e.ID)), e.StartedAt)
}

// Leaving returns the listed endpoints that have said that they leave, to this daemon or to
// another, and aren't listed as draining.
func (b *Balancer) Leaving() []roster.Endpoint {
	var out []roster.Endpoint
	b.rateLimits.Leaving(func(s *backpressure.Statement) {
		if m := b.byKey[s.Endpoint]; m != nil && !m.Draining && m.StartedAt.Equal(s.StartedAt) {
			out = append(out, m.Endpoint)
		}
	})
	return out
}

// RefreshRateLimits updates this daemon's shares: where a limit wasn't stated for a while,
// other daemons send.
func (b *Balancer) RefreshRateLimits(now time.Time) {
	if len(b.limited) > 0 {
		b.applyRateLimits(now)
	}
}

// MergeRateLimits takes other daemons' statements about rate limits.
func (b *Balancer) MergeRateLimits(now time.Time, all []backpressure.Statement) {
	if b.rateLimits.Merge(all) {
		b.applyRateLimits(now)
	}
}

// RateLimitsSince returns the statements that a daemon at a position lacks, and its
// position with them.
func (b *Balancer) RateLimitsSince(p backpressure.Position) ([]backpressure.Statement, backpressure.Position) {
	return b.rateLimits.Since(p)
}

// applyRateLimits gives each endpoint with a limit this daemon's share of it.
func (b *Balancer) applyRateLimits(now time.Time) {
	b.rateLimits.Prune(now, func(k rendezvous.ShortKey) bool { return b.byKey[k] != nil })
	limited := map[*member]bool{}
	b.rateLimits.InForce(func(s *backpressure.Statement) {
		m := b.byKey[s.Endpoint]
		if m == nil || !m.isRun(s) {
			return
		}
		limited[m] = true
		if m.pacer == nil {
			m.pacer = &backpressure.Pacer{}
		}
		m.rateLimit = s.PerSecond
		m.pacer.SetShare(now, b.fleet.ShareOf(now, s))
	})
	for m := range b.limited {
		if !limited[m] {
			m.pacer = nil
		}
	}
	b.limited = limited
}

// isRun reports whether a statement is about the listed run of an endpoint.
func (m *member) isRun(s *backpressure.Statement) bool {
	return m.StartedAt.IsZero() || s.StartedAt.IsZero() || m.StartedAt.Equal(s.StartedAt)
}

// hasRate reports whether the endpoint's rate limit leaves room for a request of this
// daemon.
func (m *member) hasRate(now time.Time) bool { return m.pacer == nil || m.pacer.Ready(now) }

// Reserve takes the place of a request that is sent to a choice.
func (b *Balancer) Reserve(now time.Time, c Choice) {
	if m := b.member(c); m != nil && m.pacer != nil {
		m.pacer.Take(now)
	}
}

// LimitWait returns the time until an endpoint that a request may go to has room within the
// limits that endpoints state, at this daemon or at another, or ends its rest; ok is false if
// none of them states a limit or rests.
func (b *Balancer) LimitWait(now time.Time, r *Request) (d time.Duration, ok bool) {
	d, ok = b.rateWait(now, r)
	if rest, rests := b.restWait(now, r); rests && (!ok || rest < d) {
		return rest, true
	}
	return d, ok
}

// rateWait is LimitWait without rests.
func (b *Balancer) rateWait(now time.Time, r *Request) (d time.Duration, ok bool) {
	if b.brittle[r.Service] != nil {
		return minBackoff, true
	}
	total := 0.0
	for _, m := range b.eligible(r) {
		if m.pacer == nil {
			continue
		}
		total += m.rateLimit
		if own, sends := m.pacer.Wait(now); sends && (!ok || own < d) {
			d, ok = own, true
		}
	}
	if total == 0 {
		return d, ok
	}
	if elsewhere := time.Duration(float64(time.Second) / total); !ok || elsewhere < d {
		d = elsewhere
	}
	return d, true
}

// RateLimits returns the rate limits in force of a service's endpoints, by endpoint.
func (b *Balancer) RateLimits(service string) map[fleet.EndpointID]float64 {
	out := map[fleet.EndpointID]float64{}
	for m := range b.limited {
		if m.Service == service {
			out[m.ID] = m.rateLimit
		}
	}
	return out
}

// RateLimited returns the number of endpoints with a rate limit in force.
func (b *Balancer) RateLimited() int { return len(b.limited) }
