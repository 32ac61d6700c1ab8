package load

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// options returns options of a run against a fake deployment, with short prompts.
func options(d *deployment) Options {
	return Options{
		Target: Target{Entries: []string{d.address}, Platform: d.address}, Seed: 1,
		Workspaces: []workload.Workspace{{Name: "north", Weight: 2, Token: "n"}, {Name: "south", Weight: 1, Token: "s"}},
		Rate:       100, Duration: 4 * time.Second, TokenScale: 0.05, TargetScale: 0.1,
	}
}

// runIn runs in virtual time against a deployment without sockets and returns the
// result.
func runIn(t *testing.T, d *deployment, o Options) *Result {
	t.Helper()
	var res *Result
	synctest.Test(t, func(t *testing.T) {
		o.Caller.Transport = d
		var err error
		res, err = Run(t.Context(), o)
		assert.NilError(t, err)
	})
	return res
}

func TestRunOverSockets(t *testing.T) {
	d := newDeployment()
	s := httptest.NewServer(d)
	defer s.Close()
	d.address = strings.TrimPrefix(s.URL, "http://")
	o := options(d)
	o.Rate, o.Duration = 400, 500*time.Millisecond
	r, err := Run(t.Context(), o)
	assert.NilError(t, err)
	assert.Equal(t, r.Answers.Ends.Answered, r.Answers.Offered)
	assert.Equal(t, int(r.Answers.Offered+r.Services.Offered), r.Settings.Requests)
	assert.Equal(t, r.Checks.Violations(), int64(0))
	assert.Assert(t, r.Checks.Orders.Checked && r.Checks.Orders.Answered > 0)
	assert.Equal(t, r.Engines.RecomputedTokens, 10*r.Answers.Answered)

	var b bytes.Buffer
	assert.NilError(t, r.Write(&b))
	assert.Assert(t, !strings.Contains(b.String(), `"n"`), "a credential is in the result")
	again, err := ReadResult(&b)
	assert.NilError(t, err)
	assert.Equal(t, again.Answers, r.Answers)
	_, err = ReadResult(strings.NewReader(`{"schema":99}`))
	assert.ErrorContains(t, err, "schema 99")
}

// Guards against coordinated omission. The first request stalls for a second and,
// with one concurrent request, all others queue behind it in the load generator.
// If latencies counted from the actual send time, the stall would not show in the
// median.
func TestLatencyIncludesTheQueueBehindAStall(t *testing.T) {
	d := newDeployment()
	d.stall = time.Second
	o := options(d)
	o.InFlight, o.Duration = 1, time.Second
	r := runIn(t, d, o)
	assert.Assert(t, r.Answers.FirstToken.P50 > 300, "p50 %v ms", r.Answers.FirstToken.P50)
	assert.Assert(t, r.Answers.FirstToken.Max >= 999)
	assert.Assert(t, r.Generator.SendLag.P50 > 300)
	assert.Equal(t, r.Answers.Ends.Answered, r.Answers.Offered)
}

func TestCostAndGoodputCoverTheSchedule(t *testing.T) {
	r := runIn(t, newDeployment(), options(newDeployment()))
	assert.Equal(t, r.Answers.Within, r.Answers.Offered)
	assert.Equal(t, r.Goodput, float64(r.Answers.Within)/4)
	// A price of 36 per hour is 0.01 per second.
	assert.Assert(t, r.Cost.Known && r.Cost.Total > 0.0399 && r.Cost.Total < 0.0401, "%v", r.Cost.Total)
	assert.Equal(t, *r.Cost.PerThousandWithin, r.Cost.Total/float64(r.Answers.Within)*1000)
	offered := int64(0)
	for _, m := range r.Timeline {
		offered += m.Offered
	}
	assert.Equal(t, offered, r.Answers.Offered)
}

func TestOrderViolationsAreCounted(t *testing.T) {
	d := newDeployment()
	d.runTwice = true
	r := runIn(t, d, options(d))
	assert.Assert(t, r.Checks.Orders.RanTwice > 0)
	assert.Equal(t, r.Checks.Orders.RanTwice, r.Checks.Orders.Sent)
	d = newDeployment()
	d.falseNotRun = true
	r = runIn(t, d, options(d))
	assert.Equal(t, r.Checks.Orders.NotRunButRan, r.Checks.Orders.Sent)
	assert.Equal(t, r.Services.Verdicts.NotRun, r.Checks.Orders.Sent)
}

func TestFaultsStartOnTimeAndEndWithTheRun(t *testing.T) {
	d := newDeployment()
	o := options(d)
	var at atomic.Int64
	start := time.Time{}
	o.Faults = []Fault{
		{Name: "wave", At: time.Second, Do: func(ctx context.Context) {
			at.Store(int64(time.Since(start)))
			<-ctx.Done()
		}},
	}
	synctest.Test(t, func(t *testing.T) {
		start = time.Now()
		o.Caller.Transport = d
		r, err := Run(t.Context(), o)
		assert.NilError(t, err)
		assert.Equal(t, time.Duration(at.Load()), time.Second)
		assert.DeepEqual(t, r.Faults, []FaultRecord{{Name: "wave", AtMillis: 1000}})
	})
}

// Guards against a run that does not end because the deployment hangs and the
// bound of concurrent requests is reached. It must end after the schedule and the
// drain, and count the requests that were not sent as offered.
func TestRunAgainstAHangingDeploymentEnds(t *testing.T) {
	d := newDeployment()
	d.stall = time.Hour
	o := options(d)
	o.InFlight, o.Drain = 1, 5*time.Second
	synctest.Test(t, func(t *testing.T) {
		o.Caller.Transport = hanging{d}
		start := time.Now()
		r, err := Run(t.Context(), o)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 9*time.Second)
		assert.Assert(t, r.Answers.Ends.Unsent > 0)
		sum := r.Answers.Ends.Unsent + r.Answers.Ends.Unfinished + r.Services.Ends.Unsent + r.Services.Ends.Answered
		assert.Equal(t, int(sum), r.Settings.Requests)
		assert.Assert(t, r.Cost.PerThousandWithin == nil)
	})
}
