package quota

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Asked is what callers have asked for on one route since a daemon's start, admitted or not.
type Asked struct {
	Amount   float64 // in the unit of the workspace's limit
	Requests uint64
}

// since returns what was asked for after an earlier count.
func (a Asked) since(before Asked) (amount, requests float64) {
	return a.Amount - before.Amount, float64(a.Requests - before.Requests)
}

// Demand is the demand of one workspace by route.
type Demand map[string]Asked

// RouteShares is the parts of the demand for a limit that may pass, by route.
type RouteShares map[string]float64

// Demands is the demand of workspaces whose limit is short.
type Demands map[fleet.WorkspaceID]Demand

// With returns the demands with one more.
func (d Demands) With(w fleet.WorkspaceID, route string, asked Asked) Demands {
	if d == nil {
		d = Demands{}
	}
	if d[w] == nil {
		d[w] = Demand{}
	}
	d[w][route] = asked
	return d
}
