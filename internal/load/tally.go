package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// tally collects the figures of a section during the run.
type tally struct {
	s           Section
	firstWithin int64
	gaps        int64
	gapsWithin  int64
	first       *hdrhistogram.Histogram
	between     *hdrhistogram.Histogram
	longest     *hdrhistogram.Histogram
	whole       *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{first: newHistogram(), between: newHistogram(), longest: newHistogram(), whole: newHistogram()}
}

func newTallies(n int) []*tally {
	all := make([]*tally, n)
	for i := range all {
		all[i] = newTally()
	}
	return all
}

// add records the outcome of one request. intact is whether its answer passed the
// checks.
func (t *tally) add(target latencyTarget, intended time.Time, o *caller.Outcome, intact bool) {
	t.s.Offered++
	t.s.Tokens += int64(o.Tokens)
	t.s.Retries += int64(max(0, o.Sent-1))
	t.s.Resumes += int64(o.Resumes)
	t.s.Moves += int64(o.Moves)
	if o.Ambiguous {
		t.s.Ambiguous++
	}
	t.addEnd(o)
	first := o.First.Sub(intended)
	if !o.First.IsZero() {
		record(t.first, first)
		t.addGaps(target, o.Gaps)
	}
	if o.End != caller.Answered {
		return
	}
	t.s.Answered++
	record(t.whole, o.Done.Sub(intended))
	if first <= target.first {
		t.firstWithin++
	}
	if intact && target.met(first, o) {
		t.s.Within++
	}
}

func (t *tally) addGaps(target latencyTarget, gaps []time.Duration) {
	var longest time.Duration
	for _, g := range gaps {
		record(t.between, g)
		longest = max(longest, g)
		if g <= target.between {
			t.gapsWithin++
		}
	}
	t.gaps += int64(len(gaps))
	if len(gaps) > 0 {
		record(t.longest, longest)
	}
}

func (t *tally) addEnd(o *caller.Outcome) {
	e := &t.s.Ends
	switch o.End {
	case caller.Answered:
		e.Answered++
	case caller.Refused:
		e.Refused++
	case caller.Failed:
		e.Failed++
	case caller.Lost:
		e.Lost++
	case caller.Unreached:
		e.Unreached++
	default:
		e.Unfinished++
	}
	if o.End == caller.Refused || o.End == caller.Failed {
		t.addVerdict(o)
	}
}

func (t *tally) addVerdict(o *caller.Outcome) {
	v := &t.s.Verdicts
	switch {
	case o.NoVerdict:
		v.Absent++
	case o.Verdict == verdict.NotRun:
		v.NotRun++
	case o.Verdict == verdict.Ran:
		v.Ran++
	default:
		v.MayHaveRun++
	}
}

// unsent counts a request that was not sent before the run ended.
func (t *tally) unsent() {
	t.s.Offered++
	t.s.Ends.Unsent++
}

// section returns the figures so far.
func (t *tally) section() Section {
	s := t.s
	s.WithinShare = share(s.Within, s.Offered)
	s.FirstWithinShare = share(t.firstWithin, s.Offered)
	s.BetweenWithinShare = share(t.gapsWithin, t.gaps)
	s.FirstToken = newDistribution(t.first)
	s.BetweenTokens = newDistribution(t.between)
	s.LongestGap = newDistribution(t.longest)
	s.Whole = newDistribution(t.whole)
	return s
}

// share returns part divided by whole, 0 if whole is 0.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
