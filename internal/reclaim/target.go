package reclaim

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Target is an endpoint that streams may move to.
type Target struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	Models     []fleet.ModelRef
	FreeSlots  int // requests that it can start at once
	FreeTokens int // free capacity of its KV cache
}

func (t *Target) serves(want fleet.ModelRef) bool {
	return slices.ContainsFunc(t.Models, func(m fleet.ModelRef) bool { return m.Satisfies(want) })
}
