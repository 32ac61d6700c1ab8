package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newBudget(n int) *Budget {
	return New(Config{FleetSize: n}, start, rand.New(rand.NewPCG(1, 2)))
}

// next returns when a call is allowed, and takes its token.
func next(b *Budget, now time.Time, c Class, k Kind) time.Time {
	for {
		d := b.Admit(now, c, k)
		if d.Action == Allowed {
			return now
		}
		now = d.At
	}
}

// Guards against a lease that is lost since orders have taken all tokens for writes.
func TestIntentsLeaveACallForTheLease(t *testing.T) {
	b := newBudget(9)
	now := start.Add(time.Minute)
	for b.Admit(now, Intent, ObjectWrite).Action == Allowed {
		now = now.Add(time.Microsecond)
	}
	assert.Equal(t, b.Admit(now, Status, ObjectWrite).Action, WaitUntil)
	assert.Equal(t, b.Admit(now, Lease, ObjectWrite).Action, Allowed)
}

// Guards against a template that isn't applied within 15 s since orders take all writes.
func TestConfigurationIsNotStarvedByIntents(t *testing.T) {
	b := newBudget(340)
	done := make(map[Class]int)
	var a agenda
	for _, c := range []Class{Intent, Configuration} {
		a = append(a, &caller{budget: b, class: c, kind: ObjectWrite, at: start})
	}
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Millisecond) {
		for _, c := range a {
			if b.Admit(now, c.class, c.kind).Action == Allowed {
				done[c.class]++
			}
		}
	}
	t.Logf("%d intents and %d configuration writes in 30 s", done[Intent], done[Configuration])
	assert.Assert(t, done[Configuration] >= 2)
	assert.Assert(t, done[Intent] > done[Configuration])
}

// Guards against calls that each wait for a timeout while the store doesn't answer.
func TestBreakerOpensAndProbes(t *testing.T) {
	b := newBudget(9)
	now := start.Add(time.Minute)
	for range failuresToOpen {
		assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed)
		b.Report(now, ObjectRead, Outcome{Result: Failed})
	}
	d := b.Admit(now, Lease, ObjectWrite)
	assert.Equal(t, d.Action, Refused)
	assert.Equal(t, d.Reason, BreakerOpen)
	assert.Equal(t, b.Admit(now, Lease, CloudCall).Action, Allowed, "another API")

	now = d.At
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed, "the probe")
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Refused, "while it is on its way")
	b.Report(now, ObjectRead, Outcome{Result: Answered})
	now = now.Add(time.Second)
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed)
}

// Guards against a breaker that stays open since the probe's caller left without a report.
func TestLostProbeIsReplaced(t *testing.T) {
	b := newBudget(9)
	now := start.Add(time.Minute)
	for range failuresToOpen {
		b.Report(now, ObjectRead, Outcome{Result: Failed})
	}
	now = now.Add(longestOpen)
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed)
	b.Report(now, ObjectRead, Outcome{Result: Abandoned})
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed)
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Refused)
	assert.Equal(t, b.Admit(now.Add(15*time.Second), Lease, ObjectRead).Action, Allowed)
}

func TestRateLimitedKindWaits(t *testing.T) {
	b := newBudget(9)
	now := start.Add(time.Minute)
	b.Report(now, WeightFetch, Outcome{Result: Limited, After: 4 * time.Second})
	d := b.Admit(now, Lease, WeightFetch)
	assert.Equal(t, d.Reason, RateLimited)
	assert.Assert(t, d.At.Sub(now) >= 4*time.Second && d.At.Sub(now) <= 6*time.Second)
	assert.Equal(t, b.Admit(now, Lease, ObjectRead).Action, Allowed)
}

func TestShareFollowsTheFleetSize(t *testing.T) {
	b := newBudget(0) // unknown: the largest fleet planned for
	calls := func(from time.Time) (n int) {
		for now := from; ; n++ {
			now = next(b, now, Lease, ObjectWrite)
			if now.After(from.Add(10 * time.Second)) {
				return n
			}
		}
	}
	large := calls(start.Add(time.Minute))
	b.SetFleetSize(start.Add(2*time.Minute), 34)
	small := calls(start.Add(3 * time.Minute))
	assert.Assert(t, large <= 10 && small >= 70, "%d and %d writes in 10 s", large, small)
}

// Guards against more calls in any period than the share and the saved-up capacity allow.
func TestBudgetNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "daemons")
		b := New(Config{FleetSize: n}, start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now, allowed := start, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			class := Class(rapid.IntRange(0, int(Lease)).Draw(t, "class"))
			d := b.Admit(now, class, ObjectWrite)
			if d.Action == Allowed {
				allowed++
				result := Result(rapid.IntRange(0, int(Abandoned)).Draw(t, "result"))
				b.Report(now, ObjectWrite, Outcome{Result: result, After: time.Second})
				continue
			}
			assert.Assert(t, d.At.After(now), "asked to come back at once")
		}
		lane := &b.lanes[ObjectWrite]
		most := lane.bucket.capacity + lane.bucket.rate*now.Sub(start).Seconds()
		assert.Assert(t, float64(allowed) <= most+1)
	})
}
