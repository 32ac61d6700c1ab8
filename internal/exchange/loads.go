package exchange

import (
	"maps"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Loads is the endpoints' loads in a hub's reply to one daemon: the total of all daemons,
// which is the same in every reply and encoded once, and the part that this daemon has
// reported itself.
type Loads struct {
	All balance.Loads // shared, must not be modified
	Own balance.Loads // likewise

	encoded *exchangepb.Loads // All in its encoded form; set by a hub only
}

// Others returns the loads without the daemon's own part.
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

// prefillUnit is the number of prompt tokens in one unit of an encoded load. An engine
// takes a millisecond or two to prefill them.
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

// decodeLoads ignores the elements of a list that have no counterpart in the others.
func decodeLoads(p *exchangepb.Loads) balance.Loads {
	n := min(len(p.GetEndpoints()), len(p.GetRequests()), len(p.GetUnread()))
	out := make(balance.Loads, n)
	for i := range n {
		out[rendezvous.ShortKey(p.Endpoints[i])] = balance.Load{Requests: int(p.Requests[i]), PendingPrefill: int(p.Unread[i]) * prefillUnit}
	}
	return out
}
