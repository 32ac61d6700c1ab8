package exchange

import (
	"maps"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// total is the sum of all parts at a moment, from which one daemon's own is
// taken off again: adding up all for each report would cost a hub time that
// grows with the square of the fleet.
type total struct {
	at    time.Time
	spent map[fleet.WorkspaceID]float64
	load  balance.Loads
	// packed is load as it is told, made when it is asked for first.
	packed *exchangepb.Loads
	parts  map[fleet.DaemonID]counted
}

// counted is a part as it went into a total.
type counted struct {
	*heard
	loads bool // its loads as well
}

// without returns the total of spending less what one daemon's part added.
func (t *total) without(id fleet.DaemonID) map[fleet.WorkspaceID]float64 {
	out := maps.Clone(t.spent)
	own, ok := t.parts[id]
	if !ok {
		return out
	}
	for w := range own.part.Soft.Spent {
		out[w] -= own.spent(w)
	}
	return out
}

// loads returns the total of loads with what one daemon's part added.
func (t *total) loads(id fleet.DaemonID) *Loads {
	if t.packed == nil {
		t.packed = packLoads(t.load)
	}
	out := &Loads{All: t.load, packed: t.packed}
	if own, ok := t.parts[id]; ok && own.loads {
		out.Own = own.part.Soft.Load
	}
	return out
}
