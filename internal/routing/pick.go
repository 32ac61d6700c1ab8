package routing

import (
	"time"
)

// Pick chooses the endpoint of a request's next attempt. The error is a
// NoEndpoint. The choice counts as load only after a call of Dispatched.
func (r *Router) Pick(now time.Time, q *Request) (Choice, error) {
	r.refresh()
	r.expire(now.UnixNano())
	s := r.sets[setKey{model: q.Model, service: q.Service}]
	if s == nil {
		return Choice{}, NoEndpoint{Cause: NotServed}
	}
	if len(s.members) == 0 {
		return Choice{}, NoEndpoint{Cause: AllLeaving}
	}
	c := r.choose(now.UnixNano(), s, q)
	if c.endpoint == nil {
		return Choice{}, NoEndpoint{Cause: AllTried}
	}
	return c.choice(c.overloaded(r.target, r.refusalSlack())), nil
}

// choose applies the policy. If only endpoints in the data centre to avoid are
// left, it chooses among these.
func (r *Router) choose(now int64, s *replicaSet, q *Request) candidate {
	f := filter{request: q, avoid: q.Avoid}
	c := r.applyPolicy(now, s, q, f)
	if c.endpoint == nil && q.Avoid != "" {
		f.avoid = ""
		c = r.applyPolicy(now, s, q, f)
	}
	return c
}

func (r *Router) applyPolicy(now int64, s *replicaSet, q *Request, f filter) candidate {
	switch r.config.Policy {
	case RoundRobin:
		return r.baseline(now, s, q, s.roundRobin(f))
	case LeastOutstanding:
		return r.baseline(now, s, q, s.leastOutstanding(f, r.rng))
	case RandomOfTwo:
		return r.baseline(now, s, q, s.randomOfTwo(f, r.rng))
	case PureAffinity:
		return r.baseline(now, s, q, s.owner(r.affinityKey(q), f))
	default:
		return r.cheapest(now, s, q, f)
	}
}
