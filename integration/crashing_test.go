package integration

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine/enginefault"
)

// crashingWord ends the engines of these tests that begin to run it.
const crashingWord = "unbalanced"

// Guards against a completion that ends each engine which runs it, and is sent again with other keys to any entry.
func TestCompletionThatEndsItsEnginesIsHeld(t *testing.T) {
	t.Parallel()
	const engines, allowed = 10, 6 // three, and three retries
	o := options()
	o.Engines = engines
	c := deploy(t, o)
	for i := range engines {
		post(t, c.engine(i)+enginefault.Path, enginefault.Faults{CrashOn: crashingWord})
	}
	entries := c.callers()
	assert.Assert(t, complete(entries[0], messages(crashingWord), 5) != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.entries {
			if e.metric("cyclamenbeam_requests_held") < 1 {
				return poll.Continue("not held at all entries")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	for _, entry := range entries {
		var notRun *refused
		err := complete(entry, messages(crashingWord), 5)
		assert.Assert(t, errors.As(err, &notRun), "%v", err)
		assert.Assert(t, notRun.after > 0)
	}
	assert.Assert(t, c.ended() <= allowed, "%d engines ended under one completion", c.ended())
	for i, entry := range entries {
		assert.NilError(t, complete(entry, messages(fmt.Sprint("balanced ", i)), 5))
	}
}

func messages(text string) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: text}}
}

// ended returns how many engines have ended.
func (c *cluster) ended() int {
	n := 0
	for i := range c.layout.Standin.Engines {
		resp, err := control.Get(c.engine(i) + enginefault.Path)
		if err != nil {
			n++
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			n++
		}
	}
	return n
}
