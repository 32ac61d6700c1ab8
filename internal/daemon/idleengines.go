package daemon

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/placement"
)

// useIdle raises the wants, while there are engines that hold nothing, so that
// these get a model, in proportion to the replicas that the templates ask for.
// Engines with another version of a model count as held: all get the new one.
//
// Failure: capacity buys more engines than the templates name replicas, to
// stand the loss of a data centre, and nobody loads a model there. Symptom: the
// reserve is cold when it is needed; it never counts as ready, is given back as
// stuck and bought again. The same happens to engines that an amended version
// leaves empty. Once an engine holds something it is idle no more, so the
// wants fall back and others may have its room.
func useIdle(wants []placement.Want, list []fleet.Endpoint) {
	if len(wants) == 0 {
		return
	}
	asked, held := make([]int, len(wants)), make([]int, len(wants))
	for i, w := range wants {
		anyVersion := fleet.ModelRef{Model: w.Model.Model, Adapter: w.Model.Adapter}
		asked[i], held[i] = max(1, w.Min), replicas(list, anyVersion)
	}
	for range idleEngines(list) {
		i := scarcest(asked, held)
		held[i]++
		wants[i].Min = max(wants[i].Min, held[i])
	}
}

// idleEngines counts the live engines that hold no model.
func idleEngines(list []fleet.Endpoint) int {
	n := 0
	for _, e := range list {
		if e.Kind == fleet.EngineEndpoint && e.State == fleet.Live && len(e.Models) == 0 {
			n++
		}
	}
	return n
}

// scarcest returns the index with the fewest replicas held for each asked for.
func scarcest(asked, held []int) int {
	best := 0
	for i := range asked {
		if held[i]*asked[best] < held[best]*asked[i] {
			best = i
		}
	}
	return best
}
