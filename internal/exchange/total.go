package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// loadTotal is the sum of all loads at a moment, from which one daemon's own is
// taken off again: adding up all for each report would cost a hub time that
// grows with the square of the fleet.
type loadTotal struct {
	at  time.Time
	all balance.Loads
	// encoded is load as it is told, made when it is asked for first.
	encoded  *exchangepb.Loads
	byDaemon map[fleet.DaemonID]balance.Loads
}

// loadsFor returns the total of loadsFor with what one daemon's part added.
func (t *loadTotal) loadsFor(id fleet.DaemonID) *Loads {
	if t.encoded == nil {
		t.encoded = encodeLoads(t.all)
	}
	return &Loads{All: t.all, Own: t.byDaemon[id], encoded: t.encoded}
}
