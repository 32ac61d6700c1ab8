package load

import (
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// conversations keeps the answered turns that later requests repeat in their
// prompts. Safe for concurrent use.
type conversations struct {
	mu     sync.Mutex
	open   map[int]conversation
	afresh int
}

type conversation struct {
	turns    []workload.Turn
	answered int // number of the last turn that was answered
}

func newConversations() *conversations {
	return &conversations{open: make(map[int]conversation)}
}

// earlier returns the turns that stand before an arrival's question. A caller
// whose last answer has not come asks afresh, without them: the schedule is
// open-loop, so the request leaves on time all the same.
func (c *conversations) earlier(a *workload.Arrival) []workload.Turn {
	if a.Turn == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.open[a.Conversation]
	if !ok || known.answered != a.Turn-1 {
		c.afresh++
		return nil
	}
	return known.turns
}

// answer notes an answered turn with all that stood before it.
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
		return // a late answer to a turn that was passed over
	}
	turns := append(earlier[:len(earlier):len(earlier)], t)
	c.open[a.Conversation] = conversation{turns: turns, answered: a.Turn}
}

// askedAfresh is how many requests left without their conversation.
func (c *conversations) askedAfresh() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.afresh
}
