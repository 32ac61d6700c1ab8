package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// rationing is the demand for one workspace's limit by route, and the shares of it that
// may pass. It exists only while the limit is short.
type rationing struct {
	priorities *priorities
	floorShare float64
	routes     map[string]*routeDemand
	nearAt     time.Time // when the workspace was last near its limit
	// The time that the routes' sums over all daemons and of this one alone cover.
	all, alone demandClock
	sharesAt   time.Time // when the shares were last computed
	// passingCost is the mean cost of the requests that pass.
	passingCost float64
	isAlone     bool      // the shares are of this daemon's part, for its own demand
	inForce     bool      // some share is below 1
	inForceAt   time.Time // when that was last so
}

func newRationing(now time.Time, p *priorities, floorShare float64) *rationing {
	return &rationing{priorities: p, floorShare: floorShare, routes: map[string]*routeDemand{}, nearAt: now}
}

// route returns the demand on a route.
func (r *rationing) route(name string) *routeDemand {
	d := r.routes[name]
	if d == nil {
		d = &routeDemand{priority: r.priorities.of(name), services: r.priorities.services[name], share: 1}
		r.routes[name] = d
		r.sharesAt = time.Time{}
	}
	return d
}

// setPriorities applies a changed configuration.
func (r *rationing) setPriorities(p *priorities) {
	r.priorities = p
	for name, d := range r.routes {
		d.priority, d.services = p.of(name), p.services[name]
	}
	r.sharesAt = time.Time{}
}

// demandClock is the time that decayed sums of demand cover.
type demandClock struct {
	at      time.Time // of the last update; zero: none yet
	seconds float64   // decayed
}

// demandStep is how decayed sums change with an update.
type demandStep struct {
	decay  float64 // of what the sums contain
	weight float64 // of what is new, 0 for the first update
}

// advance returns how the sums change with an update. What is new after a longer time than the
// time constant has the weight of that time: otherwise the mean over a silence would outweigh
// the demand after it for seconds.
func (c *demandClock) advance(now time.Time, interval time.Duration) demandStep {
	elapsed := now.Sub(c.at).Seconds()
	begun := !c.at.IsZero()
	c.at = now
	if !begun {
		return demandStep{decay: 1}
	}
	constant := demandSeconds(interval)
	s := demandStep{decay: math.Exp(-elapsed / constant), weight: 1}
	if elapsed > constant {
		s.weight = constant / elapsed
	}
	c.seconds = c.seconds*s.decay + s.weight*elapsed
	return s
}

// update takes a hub's sums of the other daemons' demand. interval is the time between two
// such updates.
func (r *rationing) update(now time.Time, hub string, interval time.Duration, others Demand) {
	for name := range others {
		r.route(name).namedAt = now
	}
	step := r.all.advance(now, interval)
	for name, d := range r.routes {
		amount, requests := 0.0, 0.0
		if total, ok := others[name]; ok {
			amount, requests = d.addOthers(hub, total)
		}
		d.updateAll(step, amount, requests)
		if d.own.Requests == 0 && now.Sub(d.namedAt) > unnamedTime {
			delete(r.routes, name)
		}
	}
	r.sharesAt = time.Time{}
}

// updateAlone updates the demand at this daemon alone.
func (r *rationing) updateAlone(now time.Time, interval time.Duration) {
	step := r.alone.advance(now, interval)
	for _, d := range r.routes {
		d.updateAlone(step)
	}
}

// demandSeconds returns the time constant of the decayed demand.
func demandSeconds(interval time.Duration) float64 {
	return max(minDemandSeconds, minDemandReports*interval.Seconds())
}

// refreshShares computes the shares of a bucket's limit if they are due. Without recent
// updates they are of this daemon's part, for its own demand.
func (r *rationing) refreshShares(now time.Time, interval time.Duration, b *Bucket) {
	if now.Sub(r.sharesAt) < sharesAge {
		return
	}
	r.sharesAt, r.isAlone = now, b.stale()
	r.updateAlone(now, interval)
	names := slices.Sorted(maps.Keys(r.routes))
	demands := make([]RouteDemand, 0, len(names))
	total := 0.0
	for _, name := range names {
		d := r.routes[name].rate(r.all.seconds, r.alone.seconds, r.isAlone)
		demands = append(demands, d)
		total += d.Amount
	}
	var shares []float64
	if r.isAlone || total >= minKnownDemand*b.spendRate() {
		shares = sharesOf(b.passing(), r.floorShare, demands)
	}
	r.apply(now, names, shares)
	r.passingCost = passingCost(demands, shares)
}

// passingCost returns the mean cost of the requests that pass by their shares.
func passingCost(demands []RouteDemand, shares []float64) float64 {
	amount, requests := 0.0, 0.0
	for i, share := range shares {
		amount += share * demands[i].Amount
		requests += share * demands[i].Requests
	}
	return amount / max(requests, minPassingRate)
}

// apply puts shares in force; nil means that everything may pass.
func (r *rationing) apply(now time.Time, names []string, shares []float64) {
	for i, name := range names {
		r.routes[name].share = 1
		if shares != nil {
			r.routes[name].share = shares[i]
		}
	}
	if r.inForce = shares != nil; r.inForce {
		r.inForceAt = now
	}
}

// refillTime returns the time in which a route's share of a limit pays for a cost, at one
// of a number of daemons.
func (r *rationing) refillTime(d *routeDemand, cost float64, daemons int) time.Duration {
	demand := d.rate(r.all.seconds, r.alone.seconds, r.isAlone).Amount
	if !r.isAlone {
		demand /= float64(daemons)
	}
	return boundedWait(cost / max(d.share*demand, 1e-9))
}

// demand returns what this daemon was asked for.
func (r *rationing) demand() Demand {
	out := make(Demand, len(r.routes))
	for name, d := range r.routes {
		if d.own.Requests > 0 {
			out[name] = d.own
		}
	}
	return out
}

// shares returns the shares in force; nil if none have been for rationedTime.
func (r *rationing) shares(now time.Time) RouteShares {
	if r.inForceAt.IsZero() || now.Sub(r.inForceAt) > rationedTime {
		return nil
	}
	out := make(RouteShares, len(r.routes))
	for name, d := range r.routes {
		out[name] = d.share
	}
	return out
}

func (r *rationing) keepHubs(hubs []string) {
	for _, d := range r.routes {
		d.keepHubs(hubs)
	}
}

const (
	// minDemandSeconds is the time constant of the decayed demand, and minDemandReports the
	// least of it in reports.
	minDemandSeconds = 1.5
	minDemandReports = 2.5
	// sharesAge is how long computed shares are used, unless an update arrives.
	sharesAge = 100 * time.Millisecond
	// rationedTime is how long the demand for a limit is counted after the workspace was
	// last near it.
	rationedTime = 3 * time.Second
	// unnamedTime is how long the demand on a route without requests at this daemon is kept
	// after a hub last named it: longer than hubs keep one that no daemon reports.
	unnamedTime = 10 * time.Second
	// minPassingRate is the least number of requests a second for a mean cost. Hubs cut off the
	// fractions of requests and not those of amounts: an amount of no request would make the
	// mean so large that the buckets admit nothing more.
	minPassingRate = 0.1
	// minKnownDemand is the part of what daemons admit that the known demand must reach.
	// Otherwise the demand of most daemons isn't known, as from an earlier release, and the
	// shares would be several times too high.
	minKnownDemand = 0.7
	// passingMargin is the part of the limit that passes in addition, since the bucket
	// refuses some of what passes.
	passingMargin = 0.2
)
