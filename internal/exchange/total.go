package exchange

import (
	"maps"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// total is the sum of all parts at a moment, from which one daemon's own is
// taken off again: adding up all for each report would cost a hub time that
// grows with the square of the fleet.
type total struct {
	at    time.Time
	spent map[fleet.WorkspaceID]float64
	load  map[fleet.EndpointID]balance.Load
	parts map[fleet.DaemonID]counted
}

// counted is a part as it went into a total.
type counted struct {
	*heard
	loads bool // its loads as well
}

// without returns the total less what one daemon's part added.
func (t *total) without(id fleet.DaemonID) relay.Soft {
	out := relay.Soft{Spent: maps.Clone(t.spent), Load: maps.Clone(t.load)}
	own, ok := t.parts[id]
	if !ok {
		return out
	}
	for w := range own.part.Soft.Spent {
		out.Spent[w] -= own.spent(w)
	}
	if !own.loads {
		return out
	}
	for e, l := range own.part.Soft.Load {
		left := balance.Load{Requests: out.Load[e].Requests - l.Requests, Unread: out.Load[e].Unread - l.Unread}
		if left == (balance.Load{}) {
			delete(out.Load, e)
			continue
		}
		out.Load[e] = left
	}
	return out
}
