package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// kind identifies the instances that can be bought interchangeably.
type kind struct {
	dataCentre fleet.DataCentre
	class      string
	onDemand   bool
}

// offer is a kind of instance with its price and throughput.
type offer struct {
	kind
	price float64 // currency units an hour
	rate  float64 // generated tokens a second
}

// unit returns the price of one token a second of throughput, in currency units an
// hour.
func (o offer) unit() float64 { return o.price / o.rate }

// market is the set of instances that can be bought now.
type market struct {
	offers []offer
	prices map[kind]float64
	next   time.Time // earliest end of a back-off; zero when there is none
}

// market returns the offers without a back-off in force. On-demand ones are left
// out unless they cost no more than the reclaimable ones, or there is no price for
// those.
func (p *Planner) market(now time.Time, prices []cloudapi.Price) market {
	m := market{prices: make(map[kind]float64, 2*len(prices))}
	for _, price := range prices {
		c := kind{dataCentre: price.DataCentre, class: price.Class}
		m.prices[c] = price.Reclaimable
		p.offer(now, &m, offer{kind: c, price: price.Reclaimable})
		c.onDemand = true
		m.prices[c] = price.OnDemand
		if price.OnDemand <= price.Reclaimable || price.Reclaimable <= 0 {
			p.offer(now, &m, offer{kind: c, price: price.OnDemand})
		}
	}
	return m
}

// onDemand returns the on-demand offers without a back-off in force.
func (p *Planner) onDemand(now time.Time, prices []cloudapi.Price) []offer {
	var m market
	for _, price := range prices {
		c := kind{dataCentre: price.DataCentre, class: price.Class, onDemand: true}
		p.offer(now, &m, offer{kind: c, price: price.OnDemand})
	}
	return m.offers
}

// offer adds o if its class is known, it has a price and no back-off is in force.
// Otherwise it notes the end of the back-off.
func (p *Planner) offer(now time.Time, m *market, o offer) {
	o.rate = p.rate(o.class)
	if o.rate <= 0 || o.price <= 0 {
		return
	}
	b := p.backoffs[o.kind]
	if b == nil || !now.Before(b.until) {
		m.offers = append(m.offers, o)
		return
	}
	if m.next.IsZero() || b.until.Before(m.next) {
		m.next = b.until
	}
}

// rate returns the throughput of a class, 0 if the class is unknown.
func (p *Planner) rate(class string) float64 {
	for _, c := range p.cfg.Classes {
		if c.Name == class {
			return c.Rate
		}
	}
	return 0
}
