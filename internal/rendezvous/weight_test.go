package rendezvous

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against homes that move though all nodes weigh the same.
func TestWeightOneLeavesScoresAsTheyAre(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		s := rng.Uint64()
		assert.Equal(t, WeightOf(1).Score(s), s)
	}
	assert.Equal(t, WeightOf(1.15), Weight(0))
	assert.Equal(t, WeightOf(0.87), Weight(0))
}

// Guards against shares of the keys that don't follow the weights.
func TestKeysFollowWeights(t *testing.T) {
	weights := []Weight{-4, -2, 0, 0, 2, 3}
	rng := rand.New(rand.NewPCG(2, 1))
	nodeKeys, won, sum := make([]uint64, len(weights)), make([]int, len(weights)), 0.0
	for i := range nodeKeys {
		nodeKeys[i] = rng.Uint64()
		sum += weights[i].factor()
	}
	const keys = 200_000
	for range keys {
		key, best, most := rng.Uint64(), 0, uint64(0)
		for i, n := range nodeKeys {
			if s := weights[i].Score(ScoreHashed(key, n)); s > most {
				best, most = i, s
			}
		}
		won[best]++
	}
	for i, n := range won {
		want := keys * weights[i].factor() / sum
		assert.Assert(t, math.Abs(float64(n)-want) < 0.05*want, "weight %d: %d of %.0f", weights[i], n, want)
	}
}

// Guards against a changed weight that moves keys between other nodes.
func TestChangedWeightMovesKeysOfItsNodeOnly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	nodeKeys := []uint64{rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64()}
	home := func(key uint64, first Weight) int {
		best, most := 0, first.Score(ScoreHashed(key, nodeKeys[0]))
		for i, n := range nodeKeys[1:] {
			if s := ScoreHashed(key, n); s > most {
				best, most = i+1, s
			}
		}
		return best
	}
	for range 20_000 {
		key := rng.Uint64()
		before, after := home(key, 0), home(key, -1)
		assert.Assert(t, before == after || before == 0)
	}
}

// Guards against a quick comparison that drops a node which would win.
func TestQuickComparisonsHoldForAllWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1))
	for range 200_000 {
		best := ^(rng.Uint64() >> rng.IntN(64))
		score := ^(rng.Uint64() >> rng.IntN(64))
		for w := -MaxWeight; w <= MaxWeight; w++ {
			if w.Score(score) > best {
				assert.Assert(t, w.CanExceed(score, best) && score >= LeastToExceed(best), "%d %x %x", w, score, best)
			}
		}
	}
	assert.Assert(t, MaxWeight.CanExceed(math.MaxUint64, math.MaxUint64-1))
	assert.Assert(t, LeastToExceed(math.MaxUint64-1000) > math.MaxUint64-10_000)
}

// Guards against estimates that aren't numbers.
func TestInvalidNumbersWeighOne(t *testing.T) {
	for _, x := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		assert.Equal(t, WeightOf(x), Weight(0))
	}
	assert.Equal(t, WeightOf(math.Inf(1)), MaxWeight)
	assert.Equal(t, WeightOf(1e-9), -MaxWeight)
}
