package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
)

// candidate is an endpoint with what is foretold for one request.
type candidate struct {
	endpoint   *endpoint
	reason     Reason
	agreed     bool    // the rendezvous choice that other daemons make as well
	cached     int     // prompt tokens
	firstToken float64 // seconds to the first token
	requests   float64 // at the endpoint now
	limit      float64 // requests at which tokens come too slowly
	service    bool    // a plain service, whose real limit nobody reports
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

// utilisation is how much of the endpoint's limit is in use with one more request.
func (c *candidate) utilisation() float64 { return (c.requests + 1) / c.limit }

// overloaded reports whether one more request would break a target, with the
// limits multiplied by slack.
func (c *candidate) overloaded(t latencyTargets, slack float64) bool {
	if c.service {
		return false
	}
	return c.utilisation() > slack || c.firstToken > t.firstToken*slack
}

// predict fills in what the request would meet at the endpoint.
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

// serviceLimit is the number of requests that is taken as a full load of a
// plain service's replica, to compare replicas by.
const serviceLimit = 64

// predictService has only this daemon's own requests to go by; their mean
// time holds whatever queueing there was.
func (r *Router) predictService(e *endpoint) candidate {
	return candidate{
		endpoint:   e,
		firstToken: e.latency.mean + e.rtt,
		requests:   float64(e.outstanding()),
		limit:      serviceLimit,
		service:    true,
	}
}

// baseline wraps a baseline's choice.
func (r *Router) baseline(now int64, s *replicaSet, q *Request, e *endpoint) candidate {
	if e == nil {
		return candidate{}
	}
	c := r.predict(now, e, q, r.cachedBlocks(e, q))
	c.reason = ByPolicy
	return c
}

// cachedBlocks returns the leading blocks that the endpoint is believed to hold.
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
