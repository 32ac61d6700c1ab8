package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// BenchmarkSpread measures the time from an operator's answer "accepted" to the
// change being in force at all of nine real daemons: with the store up; with
// the store away from the moment of the answer on; and with a daemon besides
// that is killed at that moment and started again. Give the number of changes:
// -benchtime=40x. The daemons are asked every few milliseconds.
func BenchmarkSpread(b *testing.B) {
	b.Run("store-up", func(b *testing.B) { benchSpread(b, gatePasses, false) })
	b.Run("store-away", func(b *testing.B) { benchSpread(b, gateFailsAfter, false) })
	b.Run("store-away-and-restart", func(b *testing.B) { benchSpread(b, gateFailsAfter, true) })
}

func benchSpread(b *testing.B, fault gateFault, restart bool) {
	gate := newStoreGate(b)
	c := raise(b, nine(), gate)
	var all []time.Duration
	for i := range b.N {
		gate.arm(fault)
		version := c.amend(b, i%len(c.entries), "benchmark", withFirstToken(1001+i))
		accepted := time.Now()
		if restart {
			c.replace(b, (i+1)%len(c.entries))
		}
		c.everywhere(b, version)
		all = append(all, time.Since(accepted))
		gate.mend()
		waitForDuty(b, "the store to be written again", func() bool { return c.writable(len(c.entries)) })
	}
	reportTimes(b, all)
}

// everywhere waits until all entries have a version in force, and asks each of
// them every few milliseconds.
func (c *cluster) everywhere(b *testing.B, version uint64) {
	b.Helper()
	const pause = 2 * time.Millisecond
	var all sync.WaitGroup
	deadline := time.Now().Add(dutyTimeout)
	for _, p := range c.entries {
		all.Go(func() {
			for p.inForce() < version && time.Now().Before(deadline) {
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	assert.Assert(b, time.Now().Before(deadline), "version %d is not everywhere", version)
}

// raise is deploy for a benchmark.
func raise(b *testing.B, o deployment.Options, gate *storeGate) *cluster {
	b.Helper()
	layout, err := deployment.Make(o)
	assert.NilError(b, err)
	r, err := reserve(addressesOf(layout))
	assert.NilError(b, err)
	b.Cleanup(r.release)
	gate.before(layout)
	c := &cluster{layout: layout, dir: b.TempDir(), entries: make([]*process, o.Entries)}
	assert.NilError(b, layout.Write(c.dir, deployment.DevTemplate()))
	c.standin, err = launch("standin", c.dir, os.Environ(), "standin", "--settings", filepath.Join(c.dir, "standin.yaml"))
	assert.NilError(b, err)
	b.Cleanup(c.standin.end)
	assert.Assert(b, c.standin.waitReady(), c.standin.tail())
	for i := range c.entries {
		p := c.launchEntry(b, i)
		assert.Assert(b, p.waitReady(), p.tail())
	}
	return c
}

// replace kills an entry and starts it again.
func (c *cluster) replace(b *testing.B, i int) {
	b.Helper()
	assert.NilError(b, c.entries[i].signal(syscall.SIGKILL))
	c.entries[i].wait()
	p := c.launchEntry(b, i)
	assert.Assert(b, p.waitReady(), p.tail())
}

// writable reports whether a change is accepted through each of n entries.
func (c *cluster) writable(n int) bool {
	for i := range n {
		r, err := c.change(i, "is the store back?", func(t *template.Template) {
			t.Parameters["firstToken"] = fmt.Sprintf("%dms", time.Now().UnixMilli()%500_000+10_000)
		})
		if err != nil || r.Outcome != template.Accepted {
			return false
		}
	}
	return true
}

// reportTimes reports the quantiles of times.
func reportTimes(b *testing.B, all []time.Duration) {
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "most-ms")
	b.ReportMetric(0, "ns/op") // holds the waits for the store's return as well
}
