package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
)

// rateLimitsSince returns the statements about rate limits that a daemon at a position
// lacks, by the fleet's time, and its position with them.
func (n *Node) rateLimitsSince(p backpressure.Position) ([]backpressure.Statement, backpressure.Position) {
	all, to := n.state.RateLimitsSince(p)
	now, fleetNow := time.Now(), n.clock.Now()
	for i := range all {
		all[i].At = fleetNow.Add(all[i].At.Sub(now))
	}
	return all, to
}

// mergeRateLimits takes other daemons' statements, whose times are the fleet's.
func (n *Node) mergeRateLimits(all []backpressure.Statement) {
	now, fleetNow := time.Now(), n.clock.Now()
	for i := range all {
		age := max(fleetNow.Sub(all[i].At), 0)
		all[i].At = now.Add(-age)
	}
	n.state.MergeRateLimits(now, all)
	if len(all) > 0 {
		n.endpoints.applyLeaves()
	}
}

// takeRateLimits takes the statements in the reply to a report that included this
// daemon's up to a position. A hub that has restarted has lost what it received before.
func (x *peerExchange) takeRateLimits(address string, upTo backpressure.Position, reply *exchange.Reply) {
	x.mu.Lock()
	r := x.hubState(address)
	if r.rateLimitsReceived.Epoch != reply.RateLimitsPosition.Epoch && r.rateLimitsReceived.Epoch != 0 {
		upTo = backpressure.Position{}
	}
	r.rateLimitsSent, r.rateLimitsReceived = upTo, reply.RateLimitsPosition
	x.mu.Unlock()
	x.node.mergeRateLimits(reply.RateLimits)
}
