package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

const testPauseTarget = 500 * time.Millisecond

// pausingBalancer returns a balancer of two endpoints, the first of which is slow, that has seen
// streams at the usual one with a pause.
func pausingBalancer(pause time.Duration, streams int) *Balancer {
	b := slowBalancer(2, 2)
	for range streams {
		b.ObservePause(start, Choice{Endpoint: b.members["e1"].Endpoint}, pause, testPauseTarget)
	}
	return b
}

func (b *Balancer) pauseCosts(now time.Time, uncached int) (slow, alike float64) {
	r := &Request{Service: "llm", PauseTarget: testPauseTarget}
	return b.pauseCost(now, r, b.members["e0"], uncached), b.pauseCost(now, r, b.members["e1"], uncached)
}

// Guards against costs where no pause was late.
func TestPausesInTimeCostNothing(t *testing.T) {
	b := pausingBalancer(400*time.Millisecond, 50)
	slow, alike := b.pauseCosts(start, 20_000)
	assert.Assert(t, slow == 0 && alike == 0)
}

// Guards against long prompts beside the streams of an endpoint whose events they make late.
func TestPromptsCostMoreWhereTheyMakeEventsLate(t *testing.T) {
	b := pausingBalancer(400*time.Millisecond, 50)
	b.ObservePause(start, Choice{Endpoint: b.members["e1"].Endpoint}, 600*time.Millisecond, testPauseTarget)
	b.members["e1"].latePauses = decayingShare{}
	slow, alike := b.pauseCosts(start, 20_000)
	short, _ := b.pauseCosts(start, 1000)
	assert.Assert(t, slow > 10*alike, "%g %g", slow, alike)
	assert.Assert(t, slow > 5*short, "%g %g", slow, short)
	later, _ := b.pauseCosts(start.Add(lateMemory+time.Second), 20_000)
	assert.Equal(t, later, 0.0)
}

// Guards against an endpoint whose late pauses are forgotten at once, or never.
func TestLatePausesAreEvidenceAgainstTheirEndpoint(t *testing.T) {
	b := newTestBalancer(1, 2)
	for range 100 {
		b.ObservePause(start, Choice{Endpoint: b.members["e1"].Endpoint}, 20*time.Millisecond, testPauseTarget)
	}
	for range 5 {
		b.ObservePause(start, Choice{Endpoint: b.members["e0"].Endpoint}, time.Second, testPauseTarget)
	}
	late, other := b.pauseCosts(start, 10_000)
	assert.Assert(t, late > 2*other, "%g %g", late, other)
	late, other = b.pauseCosts(start.Add(5*failureHalfLife), 10_000)
	assert.Assert(t, late < 1.1*other, "%g %g", late, other)
}

// Guards against pause costs that move requests to endpoints which have more than their share.
func TestPauseCostsEndBelowTheShareBySpeed(t *testing.T) {
	b := pausingBalancer(600*time.Millisecond, 50)
	b.members["e0"].own.Requests, b.members["e1"].own.Requests = 2, 20
	b.SetOthers(Loads{})
	slow, _ := b.pauseCosts(start, 20_000)
	assert.Equal(t, slow, 0.0)
	b.members["e0"].own.Requests = 20
	b.SetOthers(Loads{})
	slow, _ = b.pauseCosts(start, 20_000)
	assert.Assert(t, slow > 0)
}

// Guards against pauses of streams without a target, or of an endpoint's earlier run.
func TestPausesWithoutTargetOrEndpointAreIgnored(t *testing.T) {
	b := newTestBalancer(1, 1)
	c := Choice{Endpoint: b.members["e0"].Endpoint}
	b.ObservePause(start, c, time.Second, 0)
	b.ObservePause(start, c, 0, testPauseTarget)
	c.Endpoint.ID = "gone"
	b.ObservePause(start, c, time.Second, testPauseTarget)
	assert.Equal(t, len(b.pauses), 0)
}

// Guards against what is kept for services that are gone.
func TestPausesOfGoneServicesAreDropped(t *testing.T) {
	b := pausingBalancer(time.Second, 1)
	b.Configure(route.New(route.Table{}))
	b.SetEndpoints(start, nil)
	assert.Equal(t, len(b.pauses), 0)
}

// Guards against a distribution whose shares are off by more than its buckets.
func TestPauseTail(t *testing.T) {
	var tail pauseTail
	assert.Equal(t, tail.above(0.1), 0.0)
	for i := range 1000 {
		tail.add([]float64{0.01, 0.1, 0.3, 3, 100}[i%5])
	}
	for _, c := range []struct{ seconds, share float64 }{{0.02, 0.8}, {0.2, 0.6}, {1, 0.4}, {8, 0.2}, {1000, 0}} {
		got := tail.above(c.seconds)
		assert.Assert(t, got > c.share-0.02 && got < c.share+0.02, "%g: %.3f", c.seconds, got)
	}
}

// Guards against late pauses that change choices where the setting turns estimates off.
func TestPausesAreNotObservedWhereSpeedsAreOff(t *testing.T) {
	b := newTestBalancer(1, 2)
	b.SetSpeeds(speed.ModeOff)
	for range 100 {
		b.ObservePause(start, Choice{Endpoint: b.members["e0"].Endpoint}, time.Second, testPauseTarget)
	}
	late, _ := b.pauseCosts(start, 10_000)
	assert.Equal(t, late, 0.0)
	assert.Assert(t, !b.HadLatePause(start, "llm"))
}
