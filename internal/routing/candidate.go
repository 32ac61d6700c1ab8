package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
)

// candidate is an endpoint with the predictions for one request.
type candidate struct {
	endpoint   *endpoint
	reason     Reason
	agreed     bool    // the rendezvous choice on which all daemons agree
	cached     int     // prompt tokens predicted to be cached
	firstToken float64 // predicted seconds to the first token
	requests   float64 // at the endpoint now
	limit      float64 // requests at which the time between tokens reaches its target
	service    bool    // a plain service, which reports no limit
}

func (c *candidate) choice(overloaded bool) Choice {
	return Choice{
		Endpoint:              c.endpoint.info.ID,
		Address:               c.endpoint.info.Address,
		DataCentre:            c.endpoint.info.DataCentre,
		PredictedFirstToken:   time.Duration(c.firstToken * float64(time.Second)),
		PredictedCachedTokens: c.cached,
		Overloaded:            overloaded,
		Reason:                c.reason,
	}
}

// utilisation is the used fraction of the limit, one more request included.
func (c *candidate) utilisation() float64 { return (c.requests + 1) / c.limit }

// overloaded reports whether one more request would miss a latency target, with
// the limits multiplied by slack. A plain service is never overloaded.
func (c *candidate) overloaded(t latencyTargets, slack float64) bool {
	if c.service {
		return false
	}
	return c.utilisation() > slack || c.firstToken > t.firstToken*slack
}

// predict returns the candidate of an endpoint that has the given number of the
// prompt's leading blocks cached.
func (r *Router) predict(now int64, e *endpoint, q *Request, blocks int) candidate {
	if q.Service != "" {
		return r.predictService(e)
	}
	v := e.load.View(now)
	cached := min(blocks*engineapi.BlockTokens, q.PromptTokens)
	load := estimate.Request{
		Uncached: q.PromptTokens - cached,
		Decode:   r.decode.value(defaultDecodeSeconds),
	}
	return candidate{
		endpoint:   e,
		cached:     cached,
		firstToken: v.FirstToken(load) + e.rtt,
		requests:   v.Requests,
		limit:      e.tokenLatency.Limit(r.target.tokenInterval, v.Slots),
	}
}

// serviceLimit is the number of requests assumed to be the full load of a plain
// service's replica. It serves only to compare replicas.
const serviceLimit = 64

// predictService predicts from this daemon's own requests, since plain services
// send no load reports. Their mean latency includes any queueing.
func (r *Router) predictService(e *endpoint) candidate {
	return candidate{
		endpoint:   e,
		firstToken: e.latency.mean + e.rtt,
		requests:   float64(e.outstanding()),
		limit:      serviceLimit,
		service:    true,
	}
}

// baseline returns the candidate of e, the choice of a baseline policy; e may be
// nil.
func (r *Router) baseline(now int64, s *replicaSet, q *Request, e *endpoint) candidate {
	if e == nil {
		return candidate{}
	}
	c := r.predict(now, e, q, r.cachedBlocks(e, q))
	c.reason = ByPolicy
	return c
}

// cachedBlocks returns the number of the prompt's leading blocks that the
// endpoint probably has cached.
func (r *Router) cachedBlocks(e *endpoint, q *Request) int {
	matches, common := r.index.Lookup(q.Blocks, r.scratch.matches[:0])
	r.scratch.matches = matches
	for _, m := range matches {
		if m.Handle == e.handle {
			return m.Blocks
		}
	}
	return common
}
