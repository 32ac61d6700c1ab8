package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const service = "parts"

var config = Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

func newBudgets(daemons int, first bool) *Budgets {
	b := NewBudgets(config, start, first)
	b.SetDaemons(daemons, 0)
	return b
}

// Every request fails on its first endpoint, and six daemons retry as often as
// their budgets allow. Unless their parts add up to no more than the bound,
// some sliding window of ten seconds has too many retries.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const daemons, perSecond = 6, 30
	var fleet [daemons]*Budgets
	for i := range fleet {
		fleet[i] = newBudgets(daemons, true)
	}
	var requests, retries []int // in steps of 100 ms
	for step := range 400 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		sent, retried := 0, 0
		for range perSecond / 10 {
			for _, b := range fleet {
				b.Request(now, time.Time{}, service)
				sent++
				if b.Take(now, service) {
					retried++
				}
			}
		}
		requests, retries = append(requests, sent), append(retries, retried)
	}
	for end := 100; end <= len(requests); end++ {
		sent, retried := 0, 0
		for i := end - 100; i < end; i++ {
			sent, retried = sent+requests[i], retried+retries[i]
		}
		assert.Assert(t, float64(retried) <= 0.2*float64(sent)+52, "%d retries of %d requests in the window that ends at step %d", retried, sent, end)
	}
}

// takeAll takes retries until one is refused.
func takeAll(b *Budgets, now time.Time) (n int) {
	for b.Take(now, service) {
		n++
	}
	return n
}

func TestSlackIsShared(t *testing.T) {
	b := newBudgets(4, true)
	assert.Equal(t, takeAll(b, start), 11) // floor(0.86 * 52 / 4)
	assert.Assert(t, b.Take(start.Add(12*time.Second), service))
}

// Guards against a slack that a daemon uses whole while it knows none of the others.
func TestNoSlackWhileTheNumberOfDaemonsIsUnknown(t *testing.T) {
	b := newBudgets(0, true)
	assert.Equal(t, takeAll(b, start), 0)
	for range 100 {
		b.Request(start, time.Time{}, service)
	}
	assert.Equal(t, takeAll(b, start), 17)
}

// Guards against a process that sends again what its predecessor has sent in the window.
func TestNewProcessUsesASmallPartUntilItKnowsTheWindow(t *testing.T) {
	b := newBudgets(1, false)
	assert.Equal(t, takeAll(b, start), 0)
	now := start.Add(5 * time.Second)
	for range 500 {
		b.Request(now, time.Time{}, service)
	}
	assert.Equal(t, takeAll(b, now), 10) // floor(0.08 * (0.2 * 500 + 52 / 2))
	assert.Assert(t, !b.Status(now)[service].Complete)
	now = now.Add(8 * time.Second)
	assert.Assert(t, b.Status(now)[service].Complete)
	assert.Equal(t, takeAll(b, now), 120) // floor(0.86 * (0.2 * 500 + 52)) - 10
}

// Guards against requests of a departed daemon's callers that allow again what it has sent.
func TestRequestsThatMoveHereAllowNoRetries(t *testing.T) {
	for _, moved := range []bool{false, true} {
		b := newBudgets(0, true)
		now := start.Add(time.Minute)
		request := func(seconds, perSecond int) {
			for range seconds {
				for range perSecond {
					b.Request(now, time.Time{}, service)
				}
				now = now.Add(time.Second)
			}
		}
		request(15, 10)
		if moved {
			b.Departed(now)
		}
		request(6, 100)
		want := 103 // floor(0.86 * 0.2 * 600 + 0.08 * 0.2 * 30)
		if moved {
			want = 25 // floor(0.86 * 0.2 * 100 + 0.08 * 0.2 * 530)
		}
		assert.Equal(t, takeAll(b, now), want)
		request(15, 100)
		assert.Equal(t, takeAll(b, now), 154, "a window later") // floor(0.86 * 0.2 * 900)
	}
}

// Guards against retries that a short peak allows, sent just before its end: no window has
// the whole peak a moment later.
func TestEndingPeakAllowsFewerRetries(t *testing.T) {
	b := newBudgets(0, true)
	now := start.Add(time.Minute)
	for range 10 {
		for range 100 {
			b.Request(now, time.Time{}, service)
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, takeAll(b, now), 139) // floor(0.86 * 0.2 * 800 + 0.08 * 0.2 * 100)
}

// Guards against requests that waited during a freeze and allow retries in a later window.
func TestRequestsReadAfterAHoldUpAllowNoRetries(t *testing.T) {
	b := newBudgets(0, true)
	now := start.Add(time.Minute)
	for range 1000 {
		b.Request(now, now, service)
	}
	assert.Equal(t, takeAll(b, now), 0)
	for range 1000 {
		b.Request(now, now.Add(-backlogTime), service)
	}
	assert.Assert(t, takeAll(b, now) > 0)
}

// BenchmarkTake measures a retry's decision while daemons depart all the time.
func BenchmarkTake(b *testing.B) {
	budgets := newBudgets(6, true)
	now := start.Add(time.Minute)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		budgets.Request(now, time.Time{}, service)
		budgets.Departed(now)
	}
	for b.Loop() {
		budgets.Take(now, service)
	}
}
