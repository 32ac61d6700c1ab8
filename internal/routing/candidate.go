package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
)

// candidate is an endpoint with what is foretold for one request.
type candidate struct {
	endpoint *endpoint
	reason   Reason
	agreed   bool    // the rendezvous choice that other daemons make as well
	cached   int     // prompt tokens
	first    float64 // seconds to the first token
	requests float64 // at the endpoint now
	limit    float64 // requests at which tokens come too slowly
	service  bool    // a plain service, whose real limit nobody reports
}

func (c *candidate) choice(overloaded bool) Choice {
	return Choice{
		Endpoint:              c.endpoint.info.ID,
		Address:               c.endpoint.info.Address,
		DataCentre:            c.endpoint.info.DataCentre,
		PredictedFirstToken:   time.Duration(c.first * float64(time.Second)),
		PredictedCachedTokens: c.cached,
		Overloaded:            overloaded,
		Reason:                c.reason,
	}
}

// share is how much of the endpoint's limit is in use with one more request.
func (c *candidate) share() float64 { return (c.requests + 1) / c.limit }

// overloaded reports whether one more request would break a target, with the
// limits multiplied by slack.
func (c *candidate) overloaded(t targets, slack float64) bool {
	if c.service {
		return false
	}
	return c.share() > slack || c.first > t.first*slack
}

// foretell fills in what the request would meet at the endpoint.
func (r *Router) foretell(now int64, e *endpoint, q *Request, blocks int) candidate {
	if q.Service != "" {
		return r.foretellService(e)
	}
	v := e.load.View(now)
	cached := min(blocks*engineapi.BlockTokens, q.PromptTokens)
	load := estimate.Request{
		Uncached: q.PromptTokens - cached,
		Answer:   r.answer.value(defaultAnswer),
	}
	return candidate{
		endpoint: e,
		cached:   cached,
		first:    v.FirstToken(load) + e.distance,
		requests: v.Requests,
		limit:    e.pace.Limit(r.target.token, v.Slots),
	}
}

// serviceLimit is the number of requests that is taken as a full load of a
// plain service's replica, to compare replicas by.
const serviceLimit = 64

// foretellService has only this daemon's own requests to go by; their mean
// time holds whatever queueing there was.
func (r *Router) foretellService(e *endpoint) candidate {
	return candidate{
		endpoint: e,
		first:    e.latency.mean + e.distance,
		requests: float64(e.outstanding()),
		limit:    serviceLimit,
		service:  true,
	}
}

// plain wraps a baseline's choice.
func (r *Router) plain(now int64, s *set, q *Request, e *endpoint) candidate {
	if e == nil {
		return candidate{}
	}
	c := r.foretell(now, e, q, r.heldBlocks(e, q))
	c.reason = ByPolicy
	return c
}

// heldBlocks returns the leading blocks that the endpoint is believed to hold.
func (r *Router) heldBlocks(e *endpoint, q *Request) int {
	matches, common := r.index.Lookup(q.Blocks, r.scratch.matches[:0])
	r.scratch.matches = matches
	for _, m := range matches {
		if m.Slot == e.slot {
			return m.Blocks
		}
	}
	return common
}
