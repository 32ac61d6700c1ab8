package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// noticeTTL is how long a notice is remembered after the endpoint's list
// entry went: longer than any lag of the instance list.
const noticeTTL = 10 * time.Minute

// notices remembers which endpoints are under notice, by the time at which
// that may be forgotten (ns). The instance list lags: it names an endpoint as
// live after its notice, or even after it was gone from an earlier answer.
// Taken at its word, new requests would go to an instance that is vanishing.
// Ids are never reused, so a notice holds until no list can name it.
type notices map[fleet.EndpointID]int64

func (n notices) add(now int64, id fleet.EndpointID) {
	n[id] = now + int64(noticeTTL)
}

func (n notices) has(id fleet.EndpointID) bool {
	_, ok := n[id]
	return ok
}

// prune drops old notices of endpoints that are no longer listed.
func (n notices) prune(now int64, listed map[fleet.EndpointID]*endpoint) {
	for id, until := range n {
		if _, ok := listed[id]; ok {
			n.add(now, id)
			continue
		}
		if now > until {
			delete(n, id)
		}
	}
}
