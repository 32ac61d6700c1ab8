package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var config = Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

// Every request fails on its first endpoint, and six daemons retry as often as
// their budgets allow. Unless their parts add up to no more than the bound,
// some sliding window of ten seconds has too many retries.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const daemons, perSecond = 6, 30
	var fleet [daemons]*Budget
	for i := range fleet {
		fleet[i] = New(config)
		fleet[i].Daemons(daemons)
	}
	var requests, retries []int // in steps of 100 ms
	for step := range 400 {
		now := time.Unix(1000, 0).Add(time.Duration(step) * 100 * time.Millisecond)
		sent, retried := 0, 0
		for range perSecond / 10 {
			for _, b := range fleet {
				b.Request(now)
				sent++
				if b.Take(now) {
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

func TestSlackIsShared(t *testing.T) {
	b := New(config)
	b.Daemons(4)
	now := time.Unix(1000, 0)
	n := 0
	for b.Take(now) {
		n++
	}
	assert.Equal(t, n, 10) // floor(0.8 * 52 / 4)
	assert.Assert(t, b.Take(now.Add(12*time.Second)))
}
