package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// total is the sum of all loads at a moment, from which one daemon's own is
// taken off again: adding up all for each report would cost a hub time that
// grows with the square of the fleet.
type total struct {
	at   time.Time
	load balance.Loads
	// packed is load as it is told, made when it is asked for first.
	packed *exchangepb.Loads
	own    map[fleet.DaemonID]balance.Loads
}

// loads returns the total of loads with what one daemon's part added.
func (t *total) loads(id fleet.DaemonID) *Loads {
	if t.packed == nil {
		t.packed = packLoads(t.load)
	}
	return &Loads{All: t.load, Own: t.own[id], packed: t.packed}
}
