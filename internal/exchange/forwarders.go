package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Forwarder is a daemon that takes forwarded requests.
type Forwarder struct {
	Address     string
	Unreachable []string // services whose endpoints it can't reach
	// KeepsVersions means that it sends a stream that goes on to endpoints of the version that
	// began it; an earlier release doesn't.
	KeepsVersions bool
}

// Forwarder returns how a daemon takes forwarded requests, and its requests in progress at
// endpoints. ok is false if it takes none, or its last report is stale.
func (h *Hub) Forwarder(now time.Time, id fleet.DaemonID) (f Forwarder, running int, ok bool) {
	d := h.daemons[id]
	if d == nil || d.report.ForwardAddress == "" || now.Sub(d.receivedAt) > h.staleAfter() {
		return Forwarder{}, 0, false
	}
	for _, l := range d.report.Soft.Load {
		running += l.Requests
	}
	return Forwarder{Address: d.report.ForwardAddress, Unreachable: d.report.Unreachable, KeepsVersions: d.report.KeepsVersions}, running, true
}

func encodeForwarders(all []Forwarder) []*exchangepb.Forwarder {
	out := make([]*exchangepb.Forwarder, 0, len(all))
	for _, f := range all {
		out = append(out, &exchangepb.Forwarder{Address: f.Address, Unreachable: f.Unreachable, KeepsVersions: f.KeepsVersions})
	}
	return out
}

func decodeForwarders(all []*exchangepb.Forwarder) []Forwarder {
	var out []Forwarder
	for _, f := range all {
		out = append(out, Forwarder{Address: f.GetAddress(), Unreachable: f.GetUnreachable(), KeepsVersions: f.GetKeepsVersions()})
	}
	return out
}
