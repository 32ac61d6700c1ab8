package quota

import "time"

// routeDemand is the demand for a short limit on one route.
type routeDemand struct {
	priority int
	services string
	own      Asked // at this daemon since the limit became short
	// allSeen and aloneSeen are the parts of own that the sums include.
	allSeen, aloneSeen Asked
	// The others' amounts and requests, as hubs report them.
	othersAmount, othersRequests hubSum
	namedAt                      time.Time // when a hub last named the route
	// Decayed sums over all daemons, and of this one alone.
	all, alone decayedAsked
	share      float64 // of the demand that may pass
	// credit is the sum of the shares of the requests so far, less those that passed. The
	// next one passes when it reaches a random threshold.
	credit, threshold float64
}

// decayedAsked is a decayed sum of amounts and requests.
type decayedAsked struct{ amount, requests float64 }

// add decays the sum and adds to it.
func (s *decayedAsked) add(step demandStep, amount, requests float64) {
	s.amount = s.amount*step.decay + step.weight*amount
	s.requests = s.requests*step.decay + step.weight*requests
}

// passes decides about a request. Of a number of requests as many pass as the shares allow,
// within one: independent draws would serve a priority less often than a lower one with the
// same share now and then. random is a source of numbers in [0, 1), so that the places of
// the requests that pass don't follow a pattern in which a size may recur.
func (d *routeDemand) passes(random func() float64) bool {
	if d.threshold == 0 {
		d.threshold = random()
	}
	d.credit += d.share
	if d.credit < d.threshold {
		return false
	}
	d.credit--
	d.threshold = random()
	return true
}

// ask counts a request at this daemon.
func (d *routeDemand) ask(cost float64) {
	d.own.Amount += cost
	d.own.Requests++
}

// addOthers takes a hub's total of the other daemons' demand, and returns what is new.
func (d *routeDemand) addOthers(hub string, total Asked) (amount, requests float64) {
	return d.othersAmount.add(hub, total.Amount), d.othersRequests.add(hub, float64(total.Requests))
}

// updateAll decays the sums over all daemons and adds this daemon's new demand and that of
// the others. What was asked for before the sums begin doesn't count.
func (d *routeDemand) updateAll(s demandStep, othersAmount, othersRequests float64) {
	amount, requests := d.own.since(d.allSeen)
	d.all.add(s, amount+othersAmount, requests+othersRequests)
	d.allSeen = d.own
}

// updateAlone decays the sums of this daemon alone and adds its new demand.
func (d *routeDemand) updateAlone(s demandStep) {
	amount, requests := d.own.since(d.aloneSeen)
	d.alone.add(s, amount, requests)
	d.aloneSeen = d.own
}

// rate returns the demand per second, given the time that the sums cover.
func (d *routeDemand) rate(allSeconds, aloneSeconds float64, alone bool) RouteDemand {
	sum, seconds := d.all, allSeconds
	if alone {
		// A single request in a short time says little about the demand at one daemon.
		sum, seconds = d.alone, max(aloneSeconds, minDemandSeconds)
	}
	if seconds <= 0 {
		return RouteDemand{Priority: d.priority, Services: d.services}
	}
	return RouteDemand{Priority: d.priority, Services: d.services, Amount: sum.amount / seconds, Requests: sum.requests / seconds}
}

func (d *routeDemand) keepHubs(hubs []string) {
	d.othersAmount.keep(hubs)
	d.othersRequests.keep(hubs)
}
