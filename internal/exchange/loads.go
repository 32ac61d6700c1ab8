package exchange

import (
	"maps"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Loads is the endpoints' loads as a hub tells them to one daemon: all, which
// are the same for every daemon and encoded once, and what of them is the
// daemon's own.
type Loads struct {
	All balance.Loads // shared, not to be changed
	Own balance.Loads // likewise

	encoded *exchangepb.Loads // All, encoded, where a hub made it
}

// Others returns all loads but the daemon's own.
func (l *Loads) Others() balance.Loads {
	out := maps.Clone(l.All)
	for key, own := range l.Own {
		left := out[key]
		left.Requests -= own.Requests
		left.PendingPrefill = max(left.PendingPrefill-own.PendingPrefill, 0)
		if left.Requests <= 0 {
			delete(out, key)
			continue
		}
		out[key] = left
	}
	return out
}

// prefillUnit is the prompt tokens that one unit of a told load stands for: a
// millisecond or two of an engine's reading.
const prefillUnit = 64

func encodeLoads(m balance.Loads) *exchangepb.Loads {
	out := &exchangepb.Loads{
		Endpoints: make([]uint32, 0, len(m)), Requests: make([]uint32, 0, len(m)), Unread: make([]uint32, 0, len(m)),
	}
	for key, l := range m {
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.Requests = append(out.Requests, uint32(l.Requests))
		out.Unread = append(out.Unread, uint32((max(l.PendingPrefill, 0)+prefillUnit/2)/prefillUnit))
	}
	return out
}

// decodeLoads ignores what has no counterpart in each of the lists.
func decodeLoads(p *exchangepb.Loads) balance.Loads {
	n := min(len(p.GetEndpoints()), len(p.GetRequests()), len(p.GetUnread()))
	out := make(balance.Loads, n)
	for i := range n {
		out[rendezvous.Short(p.Endpoints[i])] = balance.Load{Requests: int(p.Requests[i]), PendingPrefill: int(p.Unread[i]) * prefillUnit}
	}
	return out
}
