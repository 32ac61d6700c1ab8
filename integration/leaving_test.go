package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// streamCount is how many long answers a test reads at once. All fit into the
// engines' slots, so that none waits in a queue.
func streamCount() int { return scaled(20, 100) }

const (
	// longTokens take an engine some ten seconds: too long for a leaving entry
	// to wait for, so that it hands them over.
	longTokens = 800
	// startTokens is how many tokens each stream has on average before the
	// fault comes.
	startTokens = 20
)

// roomy returns sizes at which half of the engines hold all streams.
func roomy() deployment.Options {
	o := options()
	o.Engines = scaled(6, 26)
	return o
}

// Guards against answers that are cut off by SIGTERM to their entry, rather than continued at another one.
func TestStreamsSurviveTheirEntry(t *testing.T) {
	t.Parallel()
	c := deploy(t, roomy())
	s := stream(t, callersOf(c.callers()...), streamCount(), longTokens)
	c.underWay(t, streamCount(), startTokens)
	c.entries[0].stop(t)
	s.whole(t)
	c.report(t, s)
	_, moves := s.counted()
	assert.Assert(t, moves > 0, "the entry waited for its streams: nothing was handed over")
}

// Guards against answers that are cut off where a second entry leaves while the first one still hands over to it.
func TestStreamsSurviveTheirSuccessorToo(t *testing.T) {
	t.Parallel()
	c := deploy(t, roomy())
	s := stream(t, callersOf(c.callers()...), streamCount(), longTokens)
	c.underWay(t, streamCount(), startTokens)
	c.entries[0].send(t, syscall.SIGTERM)
	waitFor(t, "the second entry to take streams over", func() bool { return c.entries[1].running() > 0 })
	c.entries[1].send(t, syscall.SIGTERM)
	assert.Equal(t, c.entries[0].wait(), 0)
	assert.Equal(t, c.entries[1].wait(), 0)
	s.whole(t)
	c.report(t, s)
}

// Guards against answers that are cut off where the cloud gives an entry's instance notice, twice.
func TestStreamsSurviveNoticeForTheirEntry(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	s := stream(t, callersOf(c.callers()...), 6, longTokens)
	c.underWay(t, 6, startTokens)
	notice := cloudapi.Reclaim{Instances: []fleet.InstanceID{c.layout.Entries[0].Instance}, Millis: stopTimeout.Milliseconds()}
	post(t, c.platform()+cloudapi.ReclaimPath, notice)
	post(t, c.platform()+cloudapi.ReclaimPath, notice)
	assert.Equal(t, c.entries[0].wait(), 0)
	s.whole(t)
	c.report(t, s)
}

// Guards against callers who wait for a whole answer and get none when their entry leaves.
func TestWaitingCallersAreSentOn(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	const callers = 4
	answers := make(chan error, callers)
	for i := range callers {
		go func() { answers <- complete(c.callers()[0], question(i), longTokens) }()
	}
	c.underWay(t, callers, startTokens)
	c.entries[0].stop(t)
	for range callers {
		assert.NilError(t, <-answers)
	}
}

// Guards against streams that can't move without a lease or the store.
func TestStreamsSurviveEntryEnginesAndStore(t *testing.T) {
	t.Parallel()
	c := deploy(t, roomy())
	s := stream(t, callersOf(c.callers()...), streamCount(), longTokens)
	c.underWay(t, streamCount(), startTokens)
	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{Outage: true})
	c.reclaimHalf(t)
	c.entries[0].stop(t)
	s.whole(t)
	c.report(t, s)
}

// report logs figures of a test's streams; they are no thresholds.
func (c *cluster) report(t *testing.T, s *streams) {
	t.Helper()
	resumes, moves := s.counted()
	total := c.totals(t)
	t.Logf("%d streams of %d tokens: longest gap %s, %d resumes, %d moves; engines that are left: %d executions, %d tokens recomputed",
		len(s.outcomes), s.tokens, s.longestGap().Round(time.Millisecond), resumes, moves, total.Executions, total.RecomputedTokens)
}

// Guards against a leaving entry that lists itself.
func TestLeavingEntryIsNotListed(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	s := stream(t, callersOf(c.callers()...), 1, 200)
	c.underWay(t, 1, startTokens)
	c.entries[0].send(t, syscall.SIGTERM)
	self := c.callers()[0]
	waitFor(t, "the entry to leave its own answer", func() bool {
		list, err := fetch[entryList]("http://" + self + "/v1/entries")
		if err != nil {
			return false
		}
		for _, e := range list.Entries {
			if e.Address == self {
				return false
			}
		}
		return true
	})
	assert.Equal(t, c.entries[0].wait(), 0)
	s.whole(t)
}
