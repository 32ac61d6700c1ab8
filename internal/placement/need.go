package placement

import (
	"math"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// need is a want with what is there for it.
type need struct {
	Want
	wanted           int // replicas wanted
	floor            int // replicas that must serve, old versions included
	maxPerDataCentre int // most replicas that count in one data centre
	ready            int
	held             map[fleet.DataCentre]int // replicas that are ready or on their way
	blocked          bool                     // nothing more can be done for it in this plan
}

// missing returns how many replicas are to be loaded. More than perSite in
// one data centre do not count, so that its loss leaves the others.
func (n *need) missing() int {
	counted := 0
	for _, held := range n.held {
		counted += min(held, n.maxPerDataCentre)
	}
	return n.wanted - counted
}

// total returns the replicas that are ready or on their way.
func (n *need) total() int {
	sum := 0
	for _, held := range n.held {
		sum += held
	}
	return sum
}

// startBy returns when the next load should start at the latest.
func (n *need) startBy(now time.Time, cfg *Config) time.Time {
	if !n.NeedBy.After(now) {
		if n.ready == 0 {
			return now.Add(-time.Hour) // nobody serves it: before all others
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

// before orders needs: the one whose load must start first, and among equals
// the one with the most load on each replica.
func (n *need) before(o *need, now time.Time, cfg *Config) bool {
	a, b := n.startBy(now, cfg), o.startBy(now, cfg)
	if !a.Equal(b) {
		return a.Before(b)
	}
	return n.Load/float64(n.total()+1) > o.Load/float64(o.total()+1)
}

// setSpread sets how many replicas count in one data centre.
func (n *need) setSpread(dataCentres int) {
	n.maxPerDataCentre = int(math.Ceil(float64(n.wanted) / float64(max(1, min(n.wanted, dataCentres)))))
}
