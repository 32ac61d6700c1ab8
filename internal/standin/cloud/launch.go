package cloud

import "github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"

// launchState says how a launch ended.
type launchState uint8

const (
	launched launchState = iota
	launchedBefore
	launchRefused  // by the market
	launchMismatch // the token was used for another launch
	launchUnknown  // no such class or data centre
)

// Refusals of the market.
const (
	refusedNoCapacity = "no reclaimable capacity of this class in this data centre"
	refusedTokenSpent = "the client token is spent: its instance has ended"
)

// launch buys an instance, once for each client token.
func (c *Cloud) launch(l cloudapi.Launch) (cloudapi.Instance, launchState, string) {
	instance, state, refusal := c.decideLaunch(l)
	if state == launched && c.options.OnLaunch != nil {
		c.options.OnLaunch(instance)
	}
	return instance, state, refusal
}

func (c *Cloud) decideLaunch(l cloudapi.Launch) (cloudapi.Instance, launchState, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, used := c.byToken[l.ClientToken]; used {
		return repeatedLaunch(c.bought[id], l)
	}
	if !c.sells(l) {
		return cloudapi.Instance{}, launchUnknown, "no such class in this data centre"
	}
	// Refusals hit reclaimable starts only: on demand is what is left then.
	if c.faults.RefuseStarts && !l.OnDemand {
		return cloudapi.Instance{}, launchRefused, refusedNoCapacity
	}
	instance := cloudapi.Instance{
		ID:          c.newID(),
		ClientToken: l.ClientToken,
		Class:       l.Class,
		DataCentre:  l.DataCentre,
		OnDemand:    l.OnDemand,
	}
	c.bought[instance.ID] = &machine{instance: instance}
	c.byToken[l.ClientToken] = instance.ID
	return instance, launched, ""
}

// repeatedLaunch answers a token that was used before.
func repeatedLaunch(m *machine, l cloudapi.Launch) (cloudapi.Instance, launchState, string) {
	had := m.instance
	if had.Class != l.Class || had.DataCentre != l.DataCentre || had.OnDemand != l.OnDemand {
		return cloudapi.Instance{}, launchMismatch, "the client token was used for another launch"
	}
	if m.ended {
		return cloudapi.Instance{}, launchRefused, refusedTokenSpent
	}
	return had, launchedBefore, ""
}

func (c *Cloud) sells(l cloudapi.Launch) bool {
	for _, p := range c.prices {
		if p.Class == l.Class && p.DataCentre == l.DataCentre {
			return true
		}
	}
	return false
}
