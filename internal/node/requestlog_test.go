package node

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
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
