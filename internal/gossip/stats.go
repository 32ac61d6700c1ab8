package gossip

import (
	"sync/atomic"
	"time"
)

// Stats are totals since the start.
type Stats struct {
	PacketsIn  uint64
	PacketsOut uint64
	BytesIn    uint64 // of datagrams, without IP and UDP headers
	BytesOut   uint64
	Foreign    uint64 // dropped: not sealed with our keys, or of another version
	Malformed  uint64 // dropped: sealed with our keys, but not a valid packet
	RingDrops  uint64 // dropped: the owner was too slow
	SendErrors uint64
	KeyErrors  uint64 // reloaded keys that could not be used; the old ones stay
	// Busy is the time spent in decoding, deciding and sending. It is measured
	// by the clock, so it is an upper bound of the processor time.
	Busy time.Duration
}

type counters struct {
	packetsIn, packetsOut atomic.Uint64
	bytesIn, bytesOut     atomic.Uint64
	foreign, malformed    atomic.Uint64
	sendErrors, keyErrors atomic.Uint64
	busy                  atomic.Int64
}

// Stats returns the totals.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		PacketsIn:  c.packetsIn.Load(),
		PacketsOut: c.packetsOut.Load(),
		BytesIn:    c.bytesIn.Load(),
		BytesOut:   c.bytesOut.Load(),
		Foreign:    c.foreign.Load(),
		Malformed:  c.malformed.Load(),
		RingDrops:  n.inbound.Drops(),
		SendErrors: c.sendErrors.Load(),
		KeyErrors:  c.keyErrors.Load(),
		Busy:       time.Duration(c.busy.Load()),
	}
}
