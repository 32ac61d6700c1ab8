package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// BenchmarkNodes runs 34 nodes over encrypted UDP on loopback for five seconds without
// membership changes. It reports the cost of one node per second, system calls included.
func BenchmarkNodes(b *testing.B) {
	const count, seconds = 34, 5
	nodes := startNodes(b, count)
	for b.Loop() {
		before, cpu := totalStats(nodes), cpuTime(b)
		time.Sleep(seconds * time.Second)
		after := totalStats(nodes)
		b.ReportMetric(float64(cpuTime(b)-cpu)/count/seconds, "cpu-ns/s")
		b.ReportMetric(float64(after.Busy-before.Busy)/count/seconds, "busy-ns/s")
		b.ReportMetric(float64(after.BytesOut-before.BytesOut)/count/seconds, "B/s")
		b.ReportMetric(float64(after.PacketsOut-before.PacketsOut)/count/seconds, "msgs/s")
	}
}

func startNodes(b *testing.B, count int) []*Node {
	b.Helper()
	var nodes []*Node
	for i := range count {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(b, err)
		self := membership.Member{
			Instance:    fleet.InstanceID(fmt.Sprintf("i-%017d", i)),
			Daemon:      fleet.DaemonID(fmt.Sprintf("d-%034d", i)),
			Peer:        conn.LocalAddr().String(),
			DataCentre:  fleet.DataCentre(fmt.Sprintf("dc-%02d", i%11)),
			Region:      fleet.Region(fmt.Sprintf("region-%d", i%11%3)),
			Incarnation: 1_700_000_000_000,
		}
		m := membership.New(membership.Config{}, self, rand.New(rand.NewPCG(1, uint64(i))))
		n, err := Start(Options{Conn: conn, Membership: m, Keys: func() Keys { return Keys{Primary: key} }})
		assert.NilError(b, err)
		b.Cleanup(func() { n.Close() })
		if i > 0 {
			n.AddSeeds([]membership.Member{{Peer: nodes[0].address()}})
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		waitFor(b, "all to join", func() bool { return len(n.View().Serving()) == count })
	}
	time.Sleep(10 * time.Second) // until no updates are queued
	return nodes
}

func totalStats(nodes []*Node) Stats {
	var sum Stats
	for _, n := range nodes {
		s := n.Stats()
		sum.Busy += s.Busy
		sum.BytesOut += s.BytesOut
		sum.PacketsOut += s.PacketsOut
	}
	return sum
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
