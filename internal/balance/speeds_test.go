package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// othersSeeing returns the observations of other daemons, to whom e0 is so many times as slow as
// the others.
func othersSeeing(endpoints int, factor float64) speed.Observations {
	out := speed.Observations{}
	for i := range endpoints {
		o := speed.Observation{Weight: 100, LogEventSeconds: -3}
		if i == 0 {
			o.LogEventSeconds += math.Log(factor)
		}
		out[rendezvous.ShortKeyOf(fmt.Sprint("e", i))] = o
	}
	return out
}

// receiveSums applies sums every 800 ms for a number of seconds and returns the time after them.
func receiveSums(b *Balancer, now time.Time, sums speed.Observations, seconds int) time.Time {
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); now = now.Add(200 * time.Millisecond) {
		if now.Sub(start)%(800*time.Millisecond) == 0 {
			b.SetOtherSpeeds(now, sums)
		}
		b.OwnSpeeds(now, nil)
	}
	return now
}

func (b *Balancer) slownessOf(id fleet.EndpointID) slowness { return b.members[id].slow }

// Guards against sums that don't reach the choice, or that outlive the hub they came from.
func TestSumsSetTheSlownessOfEndpoints(t *testing.T) {
	b := newTestBalancer(1, 10)
	now := receiveSums(b, start, othersSeeing(10, 2.4), 5)
	slow := b.slownessOf("e0")
	assert.Assert(t, slow > 2 && slow < 2.5, "%+v", slow)
	assert.Equal(t, b.slownessOf("e1"), usual)
	assert.Equal(t, b.SpeedCounts()["llm"], SpeedCounts{Slower: 1})
	assert.DeepEqual(t, b.TakeSlowChanges()[0].Endpoint, fleet.EndpointID("e0"))
	assert.Equal(t, len(b.TakeSlowChanges()), 0)

	b.OwnSpeeds(now.Add(time.Minute), nil) // no hub
	assert.Equal(t, b.slownessOf("e0"), usual)
	changes := b.TakeSlowChanges()
	assert.Assert(t, len(changes) == 1 && !changes[0].Slow, "%+v", changes)
}

// Guards against a log with a line for each change of an endpoint that is slow now and then.
func TestSlowEndpointIsReportedRarely(t *testing.T) {
	b := newTestBalancer(1, 10)
	now, reported := start, 0
	for i := range 60 {
		now = receiveSums(b, now, othersSeeing(10, 1+2*float64(i%2)), 1)
		reported += len(b.TakeSlowChanges())
	}
	assert.Assert(t, reported > 1 && reported <= 12, "%d", reported)
}

// Guards against the speed of an engine's earlier run that counts for the new one.
func TestRestartedEngineHasTheUsualSpeed(t *testing.T) {
	b := newTestBalancer(1, 3)
	all := testEndpoints(3)
	all[0].StartedAt = start
	b.SetEndpoints(start, all)
	now := receiveSums(b, start, othersSeeing(3, 3), 6)
	choice := Choice{Endpoint: all[0]}
	for range 20 {
		b.ObserveEvents(now, choice, 0.6, 4)
	}
	assert.Assert(t, b.slownessOf("e0") > 2)
	restarted := testEndpoints(3)
	restarted[0].StartedAt = now
	b.SetEndpoints(now, restarted)
	b.ObserveEvents(now, choice, 0.6, 4) // the earlier run's
	for range 5 {
		b.SetOtherSpeeds(now, othersSeeing(3, 3))
		own := b.OwnSpeeds(now, nil)
		assert.Equal(t, len(own), 0)
		assert.Equal(t, b.slownessOf("e0"), usual)
		now = now.Add(300 * time.Millisecond)
	}
	b.SetEndpoints(now, restarted[1:])
	b.SetEndpoints(now, restarted)
	assert.Equal(t, b.slownessOf("e0"), usual)
}

// Plain services and settings without speeds must have no observations.
func TestSpeedsOfEnginesAloneAreObserved(t *testing.T) {
	b := newTestBalancer(1, 3)
	plain := roster.Endpoint{ID: "p", Service: "app", Slots: 8}
	b.SetEndpoints(start, append(testEndpoints(3), plain))
	for range 20 {
		b.ObserveEvents(start, Choice{Endpoint: plain}, 0.6, 4)
	}
	assert.Equal(t, len(b.OwnSpeeds(start, []Wait{{Choice{Endpoint: plain}, 5}, {Choice{Endpoint: roster.Endpoint{ID: "gone"}}, 5}})), 0)
	b.SetSpeeds(speed.ModeOff)
	b.ObserveEvents(start, Choice{Endpoint: testEndpoints(1)[0]}, 0.6, 4)
	b.SetOtherSpeeds(start, othersSeeing(3, 9))
	assert.Equal(t, len(b.OwnSpeeds(start, nil)), 0)
	assert.Equal(t, b.slownessOf("e0"), usual)
}

// Guards against the wait for a stream's event that is kept after it has ended.
func TestWaitCountsWhileItLasts(t *testing.T) {
	b := newTestBalancer(1, 3)
	now := receiveSums(b, start, othersSeeing(3, 1), 5)
	choice := Choice{Endpoint: testEndpoints(1)[0]}
	for range 5 {
		b.ObserveEvents(now, choice, 0.2, 4)
	}
	own := b.OwnSpeeds(now, []Wait{{choice, 2}, {choice, 0.1}})
	assert.Assert(t, own[b.members["e0"].key()].Weight > 10)
	own = b.OwnSpeeds(now, nil)
	assert.Equal(t, own[b.members["e0"].key()].Weight, 5.0)
}

// BenchmarkUpdateSlowness measures an update of a service whose endpoints other daemons have
// observed, and of which this daemon uses 72.
func BenchmarkUpdateSlowness(b *testing.B) {
	for _, n := range []int{60, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newTestBalancer(1, n)
			all := testEndpoints(min(n, 72))
			for i := range all {
				for range 8 {
					x.ObserveEvents(start, Choice{Endpoint: all[i]}, 0.2, 4)
				}
			}
			now := receiveSums(x, start, othersSeeing(n, 2), 3)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				x.updateSlowness(now, true)
			}
		})
	}
}

// Guards against a request that is refused though a slower endpoint would serve it in time.
func TestSoonestEndpointIsOfferedWhereSpeedsDiffer(t *testing.T) {
	b := newTestBalancer(1, 3)
	r := &Request{Service: "llm", Prompt: 4000, Output: 100, Parts: []Part{{1, 4000}}}
	_, ok := b.PickSoonest(start, r)
	assert.Assert(t, !ok)
	b.members["e0"].slow = 2
	for _, id := range []fleet.EndpointID{"e1", "e2"} {
		b.members[id].own.PendingPrefill = 1_000_000
	}
	c, ok := b.PickSoonest(start, r)
	assert.Assert(t, ok)
	assert.Equal(t, c.Endpoint.ID, fleet.EndpointID("e0"))
}
