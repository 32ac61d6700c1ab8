package routing

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/health"
)

// endpoint is what the router knows of one endpoint.
type endpoint struct {
	info         fleet.Endpoint
	handle       uint32 // in Router.slots and the prefix index
	hash         uint64 // of the id, for rendezvous
	rtt          float64
	leaving      bool
	sets         []*replicaSet // those it serves
	load         estimate.Engine
	tokenLatency *estimate.TokenLatency // shared by its machine class
	health       health.Tracker
	nextSeq      uint64 // cache event expected next; 0 before the first
	latency      latency
	lastPick     uint64 // of the pick that last made it a candidate
	listed       uint64 // generation of the list that last named it
}

func newEndpoint(info fleet.Endpoint, handle uint32) *endpoint {
	return &endpoint{info: info, handle: handle, hash: xxh3.HashString(string(info.ID))}
}

// usable reports whether it may receive new requests.
func (e *endpoint) usable() bool { return !e.leaving && e.health.Usable() }

func (e *endpoint) action(kind ActionKind) Action {
	return Action{Kind: kind, Endpoint: e.info.ID, Address: e.info.Address}
}

// tokenPrice is the hour price over the prefill rate: a machine of twice the
// price and twice the speed is no dearer.
func (e *endpoint) tokenPrice() float64 { return e.info.HourPrice / e.load.PrefillRate() }
