package exchange

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

func encodeDemands(all quota.Demands) []*exchangepb.Demand {
	var out []*exchangepb.Demand
	for w, demand := range all {
		for route, asked := range demand {
			out = append(out, &exchangepb.Demand{Workspace: string(w), Route: route, Amount: asked.Amount, Requests: asked.Requests})
		}
	}
	return out
}

// maxDemand is the largest demand since a daemon's start that is taken from another daemon:
// floating-point sums of more lose single requests, and those of the largest values aren't
// finite.
const maxDemand = 1 << 50

// decodeDemands skips amounts that are negative, not finite or too large.
func decodeDemands(all []*exchangepb.Demand) quota.Demands {
	var out quota.Demands
	for _, d := range all {
		if !(d.GetAmount() >= 0) || d.GetAmount() > maxDemand || d.GetRequests() > maxDemand {
			continue
		}
		out = out.With(fleet.WorkspaceID(d.GetWorkspace()), d.GetRoute(), quota.Asked{Amount: d.GetAmount(), Requests: d.GetRequests()})
	}
	return out
}
