package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Guards against a new daemon that uses drained engines before its first list of the store.
func TestReplacedDaemonKnowsDrainedEngines(t *testing.T) {
	t.Parallel()
	const replaced = 2
	c := deploy(t, options(), func(l *deployment.Layout) {
		// Its own list would come within a minute; peers answer at once.
		l.Entries[replaced].Control.StartSpread = time.Minute
	})
	drained := c.layout.Standin.Engines[0]
	r, err := c.developer(0).Drain(t.Context(), string(drained.Instance), operator.Drain{Drain: true, Why: "test", Operation: newKey()})
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, template.Accepted, "%+v", r)

	c.entries[replaced].send(t, syscall.SIGKILL)
	c.entries[replaced].wait()
	c.entries[replaced] = c.startEntry(t, replaced)
	waitFor(t, "the new daemon to know the wish", func() bool {
		list, err := c.developer(replaced).Endpoints(t.Context())
		assert.NilError(t, err)
		for _, e := range list {
			if e.Instance == drained.Instance {
				return e.Draining
			}
		}
		return false
	})
	before := c.counters(t, 0).Executions
	for i := range 40 {
		chat(t, c.callers()[replaced], question(i), 1)
	}
	assert.Equal(t, c.counters(t, 0).Executions, before, "requests that reached the drained engine")
}
