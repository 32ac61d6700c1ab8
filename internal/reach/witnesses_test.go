package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Guards against a lost path that no witness can tell from a crash.
func TestSomeWitnessHasAPathAtAnySize(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		rng := rand.New(rand.NewPCG(uint64(daemons), 1))
		var all []Witness
		for i := range daemons {
			all = append(all, Witness{Address: fmt.Sprint("d", i), DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%4))})
		}
		blind := map[string]int{}
		const draws = 1000
		for range draws {
			byCentre, bySecond := true, true
			drawn := Witnesses(rng, all)
			assert.Equal(t, len(drawn), maxWitnesses)
			for _, w := range drawn {
				n := 0
				_, err := fmt.Sscanf(w.Address, "d%d", &n)
				assert.NilError(t, err)
				byCentre = byCentre && n%4 < 2
				bySecond = bySecond && n/4%2 == 0
			}
			if byCentre {
				blind["whole data centres"]++
			}
			if bySecond {
				blind["every second daemon"]++
			}
		}
		t.Logf("%d daemons, half of them cut off: no witness with a path in %v of %d", daemons, blind, draws)
		assert.Equal(t, blind["whole data centres"], 0)
		assert.Assert(t, blind["every second daemon"] < draws/4, "%v", blind)
	}
}

func TestFewDaemonsAreAllWitnesses(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, len(Witnesses(rng, nil)), 0)
	assert.Equal(t, len(Witnesses(rng, []Witness{{Address: "a"}, {Address: "b"}})), 2)
}
