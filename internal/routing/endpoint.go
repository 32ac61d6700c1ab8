package routing

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/health"
)

// endpoint is the router's state of one endpoint.
type endpoint struct {
	info         fleet.Endpoint
	handle       uint32  // index in Router.byHandle, and the engine's handle in the prefix index
	hash         uint64  // of the id, for rendezvous
	rtt          float64 // seconds
	leaving      bool
	sets         []*replicaSet // that it belongs to
	load         estimate.Engine
	tokenLatency *estimate.TokenLatency // shared within its machine class
	health       health.Tracker
	nextSeq      uint64  // sequence number of the next cache event; 0 before the first page
	latency      latency // of its answers
	lastPick     uint64  // number of the last pick that had it as a candidate
	listed       uint64  // generation of the last list that named it
}

func newEndpoint(info fleet.Endpoint, handle uint32) *endpoint {
	return &endpoint{info: info, handle: handle, hash: xxh3.HashString(string(info.ID))}
}

// usable reports whether the endpoint may receive new requests.
func (e *endpoint) usable() bool { return !e.leaving && e.health.Usable() }

func (e *endpoint) action(kind ActionKind) Action {
	return Action{Kind: kind, Endpoint: e.info.ID, Address: e.info.Address}
}

// tokenPrice returns the price of a prompt token, up to a constant factor: a
// machine with twice the hourly price and twice the prefill rate costs the same.
func (e *endpoint) tokenPrice() float64 { return e.info.HourPrice / e.load.PrefillRate() }
