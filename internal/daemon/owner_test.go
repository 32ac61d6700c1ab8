package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// dueAt is a duty's state: when it wants a tick, and when it had them.
type dueAt struct {
	due   time.Time
	ticks []time.Time
}

// An idle duty that ticks hundreds of times a second takes more of a core than
// all of control may. It must sleep until something is due, and a call that
// makes something due earlier must wake it then, not at the end of the sleep.
func TestOwnerSleepsUntilSomethingIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner("test", 1, &dueAt{})
		ctx, cancel := context.WithCancel(t.Context())
		next := func(now time.Time, s *dueAt) time.Time {
			if s.due.IsZero() {
				return now.Add(time.Hour)
			}
			return s.due
		}
		go o.runDue(ctx, next, func(now time.Time, s *dueAt) {
			s.ticks = append(s.ticks, now)
			s.due = time.Time{}
		})
		time.Sleep(time.Minute)
		soon := time.Now().Add(5 * time.Millisecond)
		assert.Assert(t, o.ask(func(_ time.Time, s *dueAt) { s.due = soon }))
		time.Sleep(time.Minute)
		cancel()
		<-o.done
		assert.Equal(t, len(o.state.ticks), 2) // the first comes with the start
		assert.Assert(t, o.state.ticks[1].Equal(soon))
	})
}
