package cloud

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Options are the settings of the stand-in. Hooks may be nil. They are called without the
// cloud's lock, so they may call it back, and from several goroutines at once.
type Options struct {
	Prices   []cloudapi.Price                         // the market; DefaultPrices where none are given
	OnLaunch func(cloudapi.Instance)                  // before the launch is answered
	OnNotice func(id fleet.InstanceID, end time.Time) // when an instance gets notice of its end
	OnGone   func(fleet.InstanceID)                   // when an instance has vanished or was given back
}

// Machine classes of the default market.
const (
	SmallClass  = "small"
	MediumClass = "medium"
	LargeClass  = "large"
)

// DefaultPrices returns a market of three machine classes whose prices differ
// by data centre, by at most a third for reclaimable instances.
func DefaultPrices(centres []fleet.DataCentre) []cloudapi.Price {
	classes := []cloudapi.Price{
		{Class: SmallClass, OnDemand: 1.20},
		{Class: MediumClass, OnDemand: 4.00},
		{Class: LargeClass, OnDemand: 11.00},
	}
	prices := make([]cloudapi.Price, 0, len(centres)*len(classes))
	for i, centre := range centres {
		for j, p := range classes {
			p.DataCentre = centre
			p.Reclaimable = p.OnDemand * reclaimableShare(i, j)
			prices = append(prices, p)
		}
	}
	return prices
}

// reclaimableShare is from 0.30 to 0.40 of the price on demand, and orders the
// data centres differently for each class.
func reclaimableShare(centre, class int) float64 {
	const lowest, step, steps = 0.30, 0.025, 5
	return lowest + step*float64((centre*2+class*3)%steps)
}
