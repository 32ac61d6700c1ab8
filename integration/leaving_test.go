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

// An entry gets SIGTERM while callers read long answers through it. It must
// not cut one off: each goes on at another entry, where its caller takes it up
// after the token that it has, and the process ends with status 0.
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

// A second entry, which took streams over from the first, leaves as well while
// the first is still at it. The streams go on at the third.
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

// The cloud gives an entry's instance notice, twice. The entry leaves by itself
// as if it had been told to, well before its end.
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

// Callers wait for their answers in one piece when their entry gets SIGTERM.
// They are sent on to its successor, which has the whole answer for them.
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

// Notice for half of the engines, SIGTERM for the entry and an outage of the
// store come at once. Moving streams needs no lease and no store.
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

// A leaving entry that is asked for entries must not name itself.
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
