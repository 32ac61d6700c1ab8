package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func nodes(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("instance-%d", i)
	}
	return out
}

func TestLeavingNodeMovesOnlyItsKeys(t *testing.T) {
	all := nodes(9)
	without := all[:8]
	moved := 0
	for k := range 9000 {
		key := Key(fmt.Sprint(k))
		before, after := all[Best(key, all)], without[Best(key, without)]
		if before == after {
			continue
		}
		moved++
		assert.Equal(t, before, all[8])
	}
	assert.Assert(t, moved > 800 && moved < 1200, "moved %d of 9000 keys", moved)
}

func TestRankStartsWithBest(t *testing.T) {
	all := nodes(9)
	key := Key("k")
	ranked := Rank(key, all, 3)
	assert.Equal(t, len(ranked), 3)
	assert.Equal(t, ranked[0], all[Best(key, all)])
	assert.Equal(t, Best(key, nil), -1)
}
