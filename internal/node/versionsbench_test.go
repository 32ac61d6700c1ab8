package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
)

// BenchmarkVersionsAfterAFullKill measures how long after the start of a large fleet that was
// killed all daemons know the versions from before, and the reads of the store's history.
func BenchmarkVersionsAfterAFullKill(b *testing.B) {
	const daemons = 78
	for range b.N {
		f, _ := servedFleet(b, daemons, "1")
		f.killAll()
		f.store.calls.Store(0)
		began := time.Now()
		f.startAgain(daemons)
		f.until("the versions are known", func(n *Node) bool { return n.origins.reaches(origin.Retention) })
		b.ReportMetric(time.Since(began).Seconds(), "s-until-known")
		b.ReportMetric(float64(f.store.takeReadCount()), "history-reads")
		b.ReportMetric(float64(f.store.calls.Load()), "calls")
		got := takeUp(f.nodes[daemons-1])
		assert.Equal(b, got.text, "id: 2\ndata: v1\n\n", "%+v", got.refusal)
	}
}
