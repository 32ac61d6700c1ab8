package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// slowAnswer is longer than an entry waits for answers that are being written,
// and shorter than callers wait.
const slowAnswer = 6000 // milliseconds

// Guards against an order that is lost, or runs again, after SIGTERM to its entry.
func TestOrderSurvivesItsEntry(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	c.slowServices(t, slowAnswer)
	key := newKey()
	answer := make(chan attempt, 1)
	go func() { answer <- sendPatiently(c.callers()[0], key, 1) }()
	waitFor(t, "the order to run", func() bool { return c.executions(t)[key] == 1 })
	c.entries[0].stop(t)
	first := <-answer
	assert.Equal(t, first.class, ran, "%+v", first)
	c.slowServices(t, 0)
	repeat := send(background, c.callers()[1], key, 1)
	assert.Equal(t, repeat.class, ran, "%+v", repeat)
	assert.Equal(t, repeat.order, first.order)
	assert.Equal(t, c.executions(t)[key], 1)
}

// slowServices delays the answers of all replicas.
func (c *cluster) slowServices(t *testing.T, millis int) {
	t.Helper()
	for i := range c.layout.Standin.Services {
		post(t, c.service(i)+serviceapi.FaultsPath, serviceapi.Faults{SlowMillis: millis})
	}
}

// Guards against repeated signals that kill a process in place of its clean exit.
func TestRepeatedSignalsChangeNothing(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	s := stream(t, callersOf(c.callers()...), 4, 300)
	c.underWay(t, 4, startTokens)
	e := c.entries[0]
	for e.signal(syscall.SIGTERM) == nil {
		select {
		case <-e.done:
		case <-time.After(time.Millisecond):
		}
	}
	assert.Equal(t, e.wait(), 0)
	s.whole(t)
}
