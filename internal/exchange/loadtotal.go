package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// loadTotal is the sum of all daemons' loads at one time. Each reply has this sum and the
// daemon's own part of it: summing the others' loads for each report separately would cost
// a hub time that grows with the square of the fleet.
type loadTotal struct {
	at  time.Time
	all balance.Loads
	// encoded is the encoded form of all, nil before its first use.
	encoded  *exchangepb.Loads
	byDaemon map[fleet.DaemonID]balance.Loads
}

// loadsFor returns the total for the reply to one daemon.
func (t *loadTotal) loadsFor(id fleet.DaemonID) *Loads {
	if t.encoded == nil {
		t.encoded = encodeLoads(t.all)
	}
	return &Loads{All: t.all, Own: t.byDaemon[id], encoded: t.encoded}
}
