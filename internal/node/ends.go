package node

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
)

const (
	// cutRing bounds the cuts that wait: an endpoint's end cuts all that run
	// there, some dozens at each daemon.
	cutRing = 256
	// askAfter is how long after a cut the endpoint is asked for: the ends of
	// its other connections are a few milliseconds apart.
	askAfter = 20 * time.Millisecond
)

// ends finds out which endpoints ended, of those whose connections did.
type ends struct {
	node *Node
	cuts *ring.Ring[relay.Cut]
	// asked is when an endpoint was asked for last.
	asked map[fleet.EndpointID]time.Time
}

func newEnds(n *Node) *ends {
	return &ends{node: n, cuts: ring.New[relay.Cut]("cuts", cutRing), asked: map[fleet.EndpointID]time.Time{}}
}

// askAgain is how long an endpoint that was asked for isn't asked for again.
const askAgain = time.Second

func (e *ends) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.cuts.C():
			e.take(ctx, c)
		}
	}
}

// take asks whether the endpoint is there, once for all that its end has cut.
func (e *ends) take(ctx context.Context, c relay.Cut) {
	now := time.Now()
	for id, at := range e.asked {
		if now.Sub(at) > askAgain {
			delete(e.asked, id)
		}
	}
	if _, ok := e.asked[c.Endpoint.ID]; ok {
		return
	}
	e.asked[c.Endpoint.ID] = now
	e.node.wg.Go(func() { e.ask(ctx, c) })
}

func (e *ends) ask(ctx context.Context, c relay.Cut) {
	if !pause.For(ctx, askAfter) {
		return
	}
	there, err := e.node.pool.Listens(ctx, c.Endpoint.Address)
	if there || err != nil {
		return
	}
	e.node.say("endpoints").WithFields(map[string]any{
		"endpoint": c.Endpoint.ID, "draining": c.Endpoint.Draining, "request": c.Request.String(), "begun": c.Begun,
	}).Warn("endpoint ended under requests")
}
