package gossip

import (
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// BenchmarkDatagram measures encoding, sealing, opening and decoding a ping without
// updates in a fleet of three regions, and reports its size on the wire.
func BenchmarkDatagram(b *testing.B) {
	s := mustSealer(b, Keys{Primary: key})
	p := &membership.Packet{
		Kind:      membership.Ping,
		Sequence:  1 << 30,
		From:      membership.Sender{Instance: "i-0123456789abcdef0", Run: 1 << 30, Incarnation: 1_700_000_000_000},
		Subject:   "i-0123456789abcdef1",
		TableHash: 1 << 62,
		Digest:    membership.Digest{Version: 1 << 20, Hash: 1 << 62},
		Heartbeats: []membership.Heartbeat{
			{Region: "region-0", Count: 1 << 20}, {Region: "region-1", Count: 1 << 20}, {Region: "region-2", Count: 1 << 20},
		},
	}
	b.ReportAllocs()
	size := 0
	var content, datagram []byte
	for b.Loop() {
		var err error
		if content, err = encode(content[:0], p); err != nil {
			b.Fatal(err)
		}
		datagram = s.seal(datagram[:0], content)
		opened, err := s.open(datagram)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decode(opened); err != nil {
			b.Fatal(err)
		}
		size = len(datagram)
	}
	b.ReportMetric(float64(size), "B/datagram")
	b.ReportMetric(float64(p.Size()), "B/bound")
}
