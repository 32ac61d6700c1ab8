package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

var restStart = time.Unix(1000, 0)

// restingBalancer returns a balancer of a daemon before n endpoints.
func restingBalancer(seed uint64, n int) *Balancer {
	b := New("a", rand.New(rand.NewPCG(seed, 1)))
	b.SetEndpoints(restStart, restEndpoints(n, restStart.Add(-time.Hour)))
	return b
}

func restEndpoints(n int, startedAt time.Time) []roster.Endpoint {
	var all []roster.Endpoint
	for i := range n {
		all = append(all, roster.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "s", Slots: 8, StartedAt: startedAt})
	}
	return all
}

// Guards against a rest that ends early: by a later answer with a shorter one, or by the
// success of another request.
func TestRestIsKeptToItsEnd(t *testing.T) {
	b, r := restingBalancer(1, 1), &Request{Service: "s"}
	c, ok := b.Pick(restStart, r)
	assert.Assert(t, ok)
	b.Sent(r, c)
	b.Sent(r, c)
	b.Rest(restStart, c, 3*time.Second)
	b.Done(restStart, r, c, false, Refused)
	b.Rest(restStart.Add(time.Second), c, 250*time.Millisecond)
	b.Done(restStart.Add(time.Second), r, c, true, Answered)
	for _, at := range []time.Duration{0, time.Second, 3*time.Second - 1} {
		_, ok = b.Pick(restStart.Add(at), r)
		assert.Assert(t, !ok, "%v", at)
		wait, limited := b.LimitWait(restStart.Add(at), r)
		assert.Assert(t, limited && wait >= 3*time.Second-at, "%v after %v", wait, at)
		assert.Assert(t, b.AnyRest(restStart.Add(at), r))
	}
	_, ok = b.Pick(restStart.Add(3*time.Second), r)
	assert.Assert(t, ok)
}

func TestLaterRunHasAskedForNoRest(t *testing.T) {
	b, r := restingBalancer(1, 1), &Request{Service: "s"}
	c, _ := b.Pick(restStart, r)
	b.Rest(restStart, c, time.Hour)
	b.SetEndpoints(restStart, restEndpoints(1, restStart))
	_, ok := b.Pick(restStart, r)
	assert.Assert(t, ok)
	b.Rest(restStart, c, time.Hour) // a late answer of the earlier run
	_, ok = b.Pick(restStart, r)
	assert.Assert(t, ok)
}

// Guards against a rest that is forgotten where the endpoint's entry is missing for a moment.
func TestRestOutlastsAMissingEntry(t *testing.T) {
	b, r := restingBalancer(1, 1), &Request{Service: "s"}
	c, _ := b.Pick(restStart, r)
	b.Rest(restStart, c, 3*time.Second)
	b.SetEndpoints(restStart, nil)
	b.SetEndpoints(restStart.Add(time.Second), restEndpoints(1, restStart.Add(-time.Hour)))
	_, ok := b.Pick(restStart.Add(3*time.Second-1), r)
	assert.Assert(t, !ok)
	_, ok = b.Pick(restStart.Add(3*time.Second), r)
	assert.Assert(t, ok)
	b.SetEndpoints(restStart.Add(time.Minute), nil)
	assert.Equal(t, len(b.rests), 0)
}

// Guards against all that waits at once after a rest.
func TestRequestsRampUpAfterARest(t *testing.T) {
	b, r := restingBalancer(1, 1), &Request{Service: "s"}
	c, _ := b.Pick(restStart, r)
	b.Rest(restStart, c, time.Second)
	end, running := restStart.Add(time.Second), 0
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {rampTime / 4, 3}, {rampTime / 2, 5}, {rampTime, 100}} {
		for running < 100 {
			c, ok := b.Pick(end.Add(step.after), r)
			if !ok {
				break
			}
			b.Sent(r, c)
			running++
		}
		assert.Equal(t, running, step.want, "%v after the rest", step.after)
	}
}

// Guards against requests in the rest that an endpoint has asked a daemon for, at any size of
// the fleet, while others still accept.
func TestRestIsKeptAtAnySize(t *testing.T) {
	const rest, endpoints = 3 * time.Second, 18
	for _, daemons := range []int{9, 78, 340, 986} {
		rng := rand.New(rand.NewPCG(uint64(daemons), 3))
		balancers := make([]*Balancer, daemons)
		for i := range balancers {
			balancers[i] = restingBalancer(uint64(i), endpoints)
		}
		asked := map[[2]int]time.Time{}
		turnedAway, served, late := 0, 0, 0
		for ms := 0; ms < 8000; ms += 5 {
			now := restStart.Add(time.Duration(ms) * time.Millisecond)
			for range max(daemons/10, 1) {
				i, r := rng.IntN(daemons), &Request{Service: "s"}
				c, ok := balancers[i].Pick(now, r)
				assert.Assert(t, ok, "endpoints that accept are left")
				var e int
				_, _ = fmt.Sscanf(string(c.Endpoint.ID), "e%d", &e)
				key := [2]int{i, e}
				if at, ok := asked[key]; ok && now.Sub(at) > rest/6 && now.Sub(at) < rest {
					late++
				}
				balancers[i].Sent(r, c)
				if e < endpoints*2/3 { // two thirds turn all away
					turnedAway++
					asked[key] = now
					balancers[i].Rest(now, c, rest)
					balancers[i].Done(now, r, c, false, Refused)
					continue
				}
				served++
				balancers[i].Done(now, r, c, true, Answered)
			}
		}
		t.Logf("%d daemons: %d turned away, %d served, %d in a rest", daemons, turnedAway, served, late)
		assert.Equal(t, late, 0)
		assert.Assert(t, served > 0)
	}
}
