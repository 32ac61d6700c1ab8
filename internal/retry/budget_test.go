package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var config = Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

// Every request fails on its first endpoint. Six daemons repeat what they may.
// No sliding window of ten seconds may see more than the fleet's bound.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const daemons, perSecond = 6, 30
	var fleet [daemons]*Budget
	for i := range fleet {
		fleet[i] = New(config)
		fleet[i].Daemons(daemons)
	}
	var requests, retries []int // by 100 ms
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
		assert.Assert(t, float64(retried) <= 0.2*float64(sent)+52, "%d again of %d in the window that ends at %d", retried, sent, end)
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
	assert.Equal(t, n, 10) // 0.8 of 52 for four
	assert.Assert(t, b.Take(now.Add(12*time.Second)))
}
