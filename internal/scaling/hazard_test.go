package scaling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNoLossIsCoveredWithoutRecentLosses(t *testing.T) {
	var h hazard
	assert.Equal(t, h.lossesToCover(start, 5*time.Second, 4), 0)
	h.recordLoss(start)
	assert.Equal(t, h.lossesToCover(start.Add(5*time.Minute), 5*time.Second, 4), 0)
}

// Each loss of a wave raises the probability of further ones; it falls while there
// are none.
func TestFrequentLossesRaiseTheNumberCovered(t *testing.T) {
	var h hazard
	h.recordLoss(start)
	first := h.lossesToCover(start, 5500*time.Millisecond, 4)
	assert.Equal(t, first, 1)
	for i := 1; i < 4; i++ {
		h.recordLoss(start.Add(time.Duration(i) * time.Second))
	}
	assert.Assert(t, h.lossesToCover(start.Add(3*time.Second), 5500*time.Millisecond, 4) >= 3)
	assert.Equal(t, h.lossesToCover(start.Add(12*time.Second), 5500*time.Millisecond, 4), 1)
	assert.Equal(t, h.lossesToCover(start.Add(30*time.Second), 5500*time.Millisecond, 4), 0)
	assert.Equal(t, h.lossesToCover(start.Add(3*time.Second), 5500*time.Millisecond, 2), 2)
}
