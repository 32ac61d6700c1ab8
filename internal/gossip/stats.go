package gossip

import (
	"sync/atomic"
	"time"
)

// Stats are totals since the start of a Node.
type Stats struct {
	PacketsIn  uint64
	PacketsOut uint64
	BytesIn    uint64 // of datagrams, excluding IP and UDP headers
	BytesOut   uint64
	Foreign    uint64 // dropped: not sealed with a configured key, or another format version
	Malformed  uint64 // dropped: opened, but not a valid packet
	RingDrops  uint64 // dropped: the ring buffer was full
	SendErrors uint64
	KeyErrors  uint64 // reloads that returned invalid keys; the old ones stay in use
	// Busy is the time spent on decoding, processing and sending. It is elapsed time,
	// so it is an upper bound on the CPU time.
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
