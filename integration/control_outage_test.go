package integration

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// What the whole fleet may call the object API in this test, calls a second:
// far less than operators ask for.
const (
	scarceReads  = 40
	scarceWrites = 20
)

// outageTime is how long the store stays away once the engines are gone.
func outageTime() time.Duration { return time.Duration(scaled(6, 120)) * time.Second }

// returnTime is how long calls are counted once changes are accepted again.
const returnTime = 5 * time.Second

// Guards against broken answers where half of the engines are reclaimed while the store is away.
func TestWaveInAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	o := roomy()
	o.Engines += 4 // half of them hold the workers' requests as well
	o.Entries = 4
	c := deploy(t, o, func(l *deployment.Layout) {
		for i := range l.Entries {
			l.Entries[i].Control.FleetReads = scarceReads
			l.Entries[i].Control.FleetWrites = scarceWrites
		}
	})
	version := c.amend(t, 0, "before the outage", withFirstToken(999))
	waitForDuty(t, "the change to be everywhere", func() bool { return inForceAt(c.entries, version) })
	w := work(t, c)
	s := stream(t, callersOf(c.callers()...), streamCount(), mediumTokens)
	c.underWay(t, streamCount(), startTokens)
	pressing, stop := context.WithCancel(context.Background())
	var pressed sync.WaitGroup
	t.Cleanup(func() { stop(); pressed.Wait() })
	for i := range operatorsAtOnce {
		pressed.Go(func() { c.press(pressing, i) })
	}
	for i := range c.entries {
		pressed.Go(func() { c.watchInForce(pressing, t, i) })
	}

	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{Outage: true})
	outage := c.count(t)
	c.reclaimHalf(t)
	s.whole(t)
	outage.last(t, c, outageTime())
	answered := w.answered.Load()
	waitFor(t, "requests to go on", func() bool { return w.answered.Load() >= answered+laterAnswers })

	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{})
	back := c.count(t)
	waitForDuty(t, "changes to be accepted through all entries", func() bool { return c.newerThan(version) })
	back.last(t, c, 0)
	c.count(t).last(t, c, returnTime)
	w.stop()
	assert.Equal(t, w.failed.Load(), int64(0))
}

// newerThan reports whether all entries have a newer version in force.
func (c *cluster) newerThan(version uint64) bool { return inForceAt(c.entries, version+1) }

// press amends the template over and over, and takes what comes.
func (c *cluster) press(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = c.change(n%len(c.entries), "pressing", func(t *template.Template) {
			withFirstToken(1000 + number + n%1000*operatorsAtOnce)(t)
		})
	}
}

// watchInForce looks at what an entry has in force until ctx ends.
func (c *cluster) watchInForce(ctx context.Context, t *testing.T, entry int) {
	highest := uint64(0)
	for ctx.Err() == nil {
		version := c.entries[entry].inForce()
		if version < highest {
			t.Errorf("%s has version %d in force after %d", c.entries[entry].name, version, highest)
		}
		highest = max(highest, version)
		time.Sleep(20 * time.Millisecond)
	}
}

// callCount is the object API's count at a time.
type callCount struct {
	at    time.Time
	calls objectapi.Calls
}

func (c *cluster) count(t *testing.T) callCount {
	t.Helper()
	return callCount{at: time.Now(), calls: get[objectapi.Calls](t, c.platform()+objectapi.CallsPath)}
}

// last waits until a time has passed since the count and compares the calls
// since then with what the fleet may make.
func (a callCount) last(t *testing.T, c *cluster, d time.Duration) {
	t.Helper()
	time.Sleep(time.Until(a.at.Add(d)))
	b := c.count(t)
	seconds := b.at.Sub(a.at).Seconds()
	reads, writes := float64(b.calls.Reads-a.calls.Reads), float64(b.calls.Writes-a.calls.Writes)
	t.Logf("%.1f s: %.1f reads a second of %d, %.1f writes a second of %d", seconds, reads/seconds, scarceReads, writes/seconds, scarceWrites)
	assert.Assert(t, reads <= scarceReads*seconds, "%.0f reads in %.1f s", reads, seconds)
	assert.Assert(t, writes <= scarceWrites*seconds, "%.0f writes in %.1f s", writes, seconds)
}
