package load

import (
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// conversations holds the answered turns, which the prompts of later requests
// contain. Safe for concurrent use.
type conversations struct {
	mu             sync.Mutex
	open           map[int]conversation // by the schedule's number
	withoutHistory int                  // requests sent without their earlier turns
}

type conversation struct {
	turns    []workload.Turn
	answered int // number of the last turn that was answered
}

func newConversations() *conversations {
	return &conversations{open: make(map[int]conversation)}
}

// earlier returns the turns that precede an arrival's question in its prompt.
// There are none if the turn before has not been answered: the schedule is
// open-loop, so the request is sent on time without them.
func (c *conversations) earlier(a *workload.Arrival) []workload.Turn {
	if a.Turn == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.open[a.Conversation]
	if !ok || known.answered != a.Turn-1 {
		c.withoutHistory++
		return nil
	}
	return known.turns
}

// answer records an answered turn and the turns that preceded it.
func (c *conversations) answer(a *workload.Arrival, earlier []workload.Turn, t workload.Turn) {
	if a.Conversation < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Last {
		delete(c.open, a.Conversation)
		return
	}
	if known, ok := c.open[a.Conversation]; ok && known.answered >= a.Turn {
		return // a late answer; a later turn was answered before
	}
	turns := append(earlier[:len(earlier):len(earlier)], t)
	c.open[a.Conversation] = conversation{turns: turns, answered: a.Turn}
}

// sentWithoutHistory returns how many requests were sent without their earlier
// turns.
func (c *conversations) sentWithoutHistory() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withoutHistory
}
