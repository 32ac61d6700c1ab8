package reach

import (
	"math/rand/v2"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// maxWitnesses is how many other daemons are asked whether an endpoint listens.
const maxWitnesses = 3

// Witness is another daemon that may be asked whether an endpoint listens.
type Witness struct {
	Address    string
	DataCentre fleet.DataCentre
}

// Witnesses draws the daemons to ask, from different data centres where there are, since a path
// is often lost for a whole one. It reorders all.
func Witnesses(rng *rand.Rand, all []Witness) []Witness {
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rank := make(map[Witness]int, len(all)) // within its data centre
	perCentre := map[fleet.DataCentre]int{}
	for _, w := range all {
		rank[w] = perCentre[w.DataCentre]
		perCentre[w.DataCentre]++
	}
	slices.SortStableFunc(all, func(a, b Witness) int { return rank[a] - rank[b] })
	return all[:min(len(all), maxWitnesses)]
}
