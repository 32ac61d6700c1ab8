// Package cloud is an in-memory stand-in of the cloud API (package cloudapi):
// launches that are idempotent by client token, refusals, prices, and notices
// after which instances vanish.
package cloud

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Cloud holds the market and the bought instances. All methods are safe for
// concurrent use.
type Cloud struct {
	options Options
	mu      sync.Mutex
	faults  cloudapi.Faults
	prices  []cloudapi.Price
	bought  map[fleet.InstanceID]*machine
	byToken map[string]fleet.InstanceID
	nextID  int
	notices noticeLog
}

// machine is an instance and its announced end.
type machine struct {
	instance cloudapi.Instance
	ended    bool
	endsAt   time.Time // zero without a notice
	timer    *time.Timer
}

// New returns a cloud without instances.
func New(o Options) *Cloud {
	return &Cloud{
		options: o,
		prices:  o.Prices,
		bought:  make(map[fleet.InstanceID]*machine),
		byToken: make(map[string]fleet.InstanceID),
		notices: newNoticeLog(),
	}
}

// Register adds an instance that was there from the start, so that it is listed and can be
// reclaimed. OnLaunch isn't called.
func (c *Cloud) Register(instance cloudapi.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bought[instance.ID] = &machine{instance: instance}
	if instance.ClientToken != "" {
		c.byToken[instance.ClientToken] = instance.ID
	}
}

// SetAddress records where an instance can be reached.
func (c *Cloud) SetAddress(id fleet.InstanceID, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.bought[id]; m != nil {
		m.instance.Address = address
	}
}

// SetFaults switches the faults.
func (c *Cloud) SetFaults(f cloudapi.Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// SetPrices replaces the market.
func (c *Cloud) SetPrices(prices []cloudapi.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prices = prices
}

// Prices returns the market.
func (c *Cloud) Prices() []cloudapi.Price {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cloudapi.Price{}, c.prices...)
}

// Instances returns the instances that have not ended, by id.
func (c *Cloud) Instances() []cloudapi.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make([]cloudapi.Instance, 0, len(c.bought))
	for _, m := range c.bought {
		if !m.ended {
			found = append(found, m.instance)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

func (c *Cloud) currentFaults() cloudapi.Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *Cloud) newID() fleet.InstanceID {
	c.nextID++
	return fleet.InstanceID("i-" + strconv.Itoa(c.nextID))
}
