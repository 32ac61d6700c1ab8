package exchange

import (
	"math"

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

// decodeDemands skips amounts that are negative or not finite.
func decodeDemands(all []*exchangepb.Demand) quota.Demands {
	var out quota.Demands
	for _, d := range all {
		if !(d.GetAmount() >= 0) || math.IsInf(d.GetAmount(), 0) {
			continue
		}
		out = out.With(fleet.WorkspaceID(d.GetWorkspace()), d.GetRoute(), quota.Asked{Amount: d.GetAmount(), Requests: d.GetRequests()})
	}
	return out
}
