package placement

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// need is a want with the replicas that exist for it.
type need struct {
	Want
	wanted           int // replicas wanted
	floor            int // minimum of serving replicas, old versions included
	maxPerDataCentre int // replicas beyond this in one data centre don't count
	ready            int
	held             map[fleet.DataCentre]int // replicas that are ready, loading or ordered
	blocked          bool                     // this plan can do nothing more for it
}

// missing returns how many replicas are to be loaded. Those beyond maxPerDataCentre
// don't count, so that the loss of a data centre leaves enough in the others.
func (n *need) missing() int {
	counted := 0
	for _, held := range n.held {
		counted += min(held, n.maxPerDataCentre)
	}
	return n.wanted - counted
}

// total returns the number of replicas that are ready, loading or ordered.
func (n *need) total() int {
	sum := 0
	for _, held := range n.held {
		sum += held
	}
	return sum
}

// startBy returns the latest time at which the next load should start.
func (n *need) startBy(now time.Time, cfg *Config) time.Time {
	if !n.NeedBy.After(now) {
		if n.ready == 0 {
			return now.Add(-time.Hour) // no replica serves: before all other needs
		}
		return now
	}
	transfer := time.Duration(float64(n.missing()) * float64(n.Bytes) / cfg.WeightRate * float64(time.Second))
	by := n.NeedBy.Add(-cfg.LoadTime - transfer)
	if by.Before(now) {
		return now
	}
	return by
}

// before reports whether n is more urgent than o: its next load must start earlier,
// or, at the same time, it has the higher load per replica.
func (n *need) before(o *need, now time.Time, cfg *Config) bool {
	a, b := n.startBy(now, cfg), o.startBy(now, cfg)
	if !a.Equal(b) {
		return a.Before(b)
	}
	return n.Load/float64(n.total()+1) > o.Load/float64(o.total()+1)
}

// setSpread sets maxPerDataCentre for an even spread over the data centres.
func (n *need) setSpread(dataCentres int) {
	n.maxPerDataCentre = int(math.Ceil(float64(n.wanted) / float64(max(1, min(n.wanted, dataCentres)))))
}
