// Package picker chooses among scored candidates.
package picker

import "math/rand/v2"

// Scored is one candidate's cost and load. Load has any unit.
type Scored struct {
	Cost float64
	Load float64
}

// Pick returns the index of the choice, -1 when there is none. Candidates
// whose cost is within margin of the least are near-equals; two of them are
// drawn at random and the less loaded wins (Mitzenmacher, 2001). Costs rest
// on lagging reports that all daemons share: taking the very least would send
// all daemons to one engine until the next report.
func Pick(candidates []Scored, margin float64, rng *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	least := candidates[0].Cost
	for _, c := range candidates[1:] {
		least = min(least, c.Cost)
	}
	first := draw(candidates, least+margin, -1, rng)
	second := draw(candidates, least+margin, first, rng)
	if second < 0 || candidates[first].Load <= candidates[second].Load {
		return first
	}
	return second
}

// draw returns a random candidate, other than skip, whose cost is at most
// bound; -1 when there is none. It samples in one pass.
func draw(candidates []Scored, bound float64, skip int, rng *rand.Rand) int {
	chosen, seen := -1, 0
	for i := range candidates {
		if i == skip || candidates[i].Cost > bound {
			continue
		}
		seen++
		if seen == 1 || rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}
