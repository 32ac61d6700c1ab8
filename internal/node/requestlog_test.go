package node

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// An endpoint's failure is passed on to the caller. Among thousands of successes a second
// its line must be in the log: successes are left out first.
func TestFailuresAreLoggedBeforeSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		log := logrus.New()
		log.SetOutput(&text)
		r := newRequestLog(log, newMetricSet(&Node{}))
		for i := range 100 {
			r.add(&relay.Outcome{ID: fmt.Sprint("good", i), Status: 200})
		}
		r.add(&relay.Outcome{ID: "passed on", Status: 500, Failed: true})
		r.add(&relay.Outcome{ID: "refused", Reason: relay.OverLimit})
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		synctest.Wait()
		cancel()
		synctest.Wait()
		got := text.String()
		assert.Equal(t, strings.Count(got, "msg=answered"), successLines)
		assert.Assert(t, strings.Contains(got, `msg="failed by its endpoint"`) && strings.Contains(got, `id="passed on"`))
		assert.Assert(t, strings.Contains(got, "id=refused"))
	})
}

// Guards against refusals of requests that were sent somewhere whose lines are left out.
func TestRefusalsAfterASendAreLoggedBeforeOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		log := logrus.New()
		log.SetOutput(&text)
		r := newRequestLog(log, newMetricSet(&Node{}))
		for i := range 2 * failureLines {
			r.add(&relay.Outcome{ID: fmt.Sprint("unsent", i), Reason: relay.OverLimit, Verdict: verdict.NotRun})
		}
		r.add(&relay.Outcome{ID: "sent", Reason: relay.Shed, Verdict: verdict.NotRun, Deliveries: []delivery.Record{
			{To: "i-1", NotRun: true, Evidence: delivery.EndpointStates, Status: 503},
			{To: "10.1.0.2:1", NotRun: true, Evidence: delivery.DaemonStates, Status: 503, Further: []delivery.Record{{To: "i-2", NotRun: true, Evidence: delivery.EndpointStates, Status: 429}}},
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Assert(t, strings.Contains(text.String(), `deliveries="i-1 not-run endpoint 503, 10.1.0.2:1 not-run daemon 503 (i-2 not-run endpoint 429)"`))
		assert.Assert(t, strings.Contains(text.String(), "proof=daemons"))
		assert.Equal(t, strings.Count(text.String(), "proof=unsent"), failureLines)
	})
}

// Guards against lines without a bound from an endpoint that spoils all its answers, lines that are left out
// without being counted, and requests that wait for the log.
func TestInvalidAnswersAreLoggedUpToABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		log := logrus.New()
		log.SetOutput(&text)
		m := newMetricSet(&Node{})
		r := newRequestLog(log, m)
		for i := range 2 * invalidRing { // nothing reads yet
			r.invalid(&relay.InvalidAnswer{Request: fmt.Sprint("r", i), Endpoint: "i-1", Kind: "missing-id", After: "7"})
		}
		assert.Equal(t, m.linesLeftOut.Get(), uint64(invalidRing))
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, strings.Count(text.String(), `msg="answer is invalid"`), invalidLines)
		assert.Assert(t, strings.Contains(text.String(), "after=7 endpoint=i-1 id=r0 kind=missing-id"))
		assert.Equal(t, m.linesLeftOut.Get(), uint64(2*invalidRing-invalidLines))
		r.invalid(&relay.InvalidAnswer{Request: "later"})
		cancel()
		synctest.Wait()
		assert.Assert(t, strings.Contains(text.String(), "id=later"))
	})
}
