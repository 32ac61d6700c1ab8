package daemon

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/placement"
)

// useIdle raises the wants, while there are engines that hold nothing, so that
// these get a model, in proportion to the replicas that the templates ask for.
// Engines with another version of a model count as held: all get the new one.
//
// Capacity buys more engines than the templates have replicas, so that a data centre can be
// lost. If no model were loaded there, the reserve would be cold when it is needed: it would never
// count as ready, be returned as stuck and be bought again. The same happens to engines that a
// changed version leaves empty. An engine that holds a model is no longer idle, so the wanted
// numbers fall back and others may use its room.
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
