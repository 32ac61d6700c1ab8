package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// noticeTTL is how long a notice is kept after the instance list stopped naming
// the endpoint. It is longer than any lag of that list.
const noticeTTL = 10 * time.Minute

// notices holds, for each endpoint under notice, the time in ns after which the
// notice may be dropped. The instance list lags: it may report an endpoint as
// live after its notice, or name it again after a list that omitted it. Without
// the notices, new requests would go to an instance that is about to vanish.
// Endpoint ids are never reused, so a notice is kept until no list can name its
// endpoint any more.
type notices map[fleet.EndpointID]int64

func (n notices) add(now int64, id fleet.EndpointID) {
	n[id] = now + int64(noticeTTL)
}

func (n notices) has(id fleet.EndpointID) bool {
	_, ok := n[id]
	return ok
}

// prune extends the notices of listed endpoints and drops those that expired.
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
