package node

import (
	"maps"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// keptWindows is the number of usage windows that are kept and reported: reports
// are late by two windows at most.
const keptWindows = 4

// begunCounts counts the requests that began to run, per workspace and window of the
// fleet's clock.
type begunCounts struct {
	window time.Duration
	mu     sync.Mutex
	counts map[uint64]exchange.RequestCounts
}

func newBegunCounts(window time.Duration) *begunCounts {
	return &begunCounts{window: window, counts: map[uint64]exchange.RequestCounts{}}
}

// number returns the window that contains a time.
func (b *begunCounts) number(at time.Time) uint64 { return uint64(at.UnixNano() / int64(b.window)) }

func (b *begunCounts) add(w fleet.WorkspaceID, at time.Time) {
	id := b.number(at)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts[id] == nil {
		b.counts[id] = exchange.RequestCounts{}
		maps.DeleteFunc(b.counts, func(old uint64, _ exchange.RequestCounts) bool { return old+keptWindows <= id })
	}
	b.counts[id][w]++
}

// windows returns a copy of the counts.
func (b *begunCounts) windows() map[uint64]exchange.RequestCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[uint64]exchange.RequestCounts, len(b.counts))
	for id, c := range b.counts {
		out[id] = maps.Clone(c)
	}
	return out
}
