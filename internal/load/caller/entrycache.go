package caller

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bounds of asking for entries.
const (
	// askTimeout bounds one question; a dead entry must not hold a caller up
	// for longer than it takes to ask the next.
	askTimeout = time.Second
	// defaultMaxAge is kept where an answer names no age.
	defaultMaxAge = 5 * time.Second
)

// asker asks one entry which entries to use and for how long to keep the answer.
type asker func(ctx context.Context, address string) ([]string, time.Duration, error)

// entryCache is one caller's knowledge of entries. It keeps an answer for its
// maximal age and then asks again. An entry that failed is passed over until
// the next answer. Safe for concurrent use.
type entryCache struct {
	ask    asker
	seeds  []string
	offset int // index of the entry to prefer

	mu      sync.Mutex
	entries []string
	gone    []string
	until   time.Time
}

// pick returns the entry to use, another than avoid where one is known. It is
// empty only where there are no seeds.
func (c *entryCache) pick(ctx context.Context, avoid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.until) || len(c.usable("")) == 0 {
		c.refresh(ctx)
	}
	if usable := c.usable(avoid); len(usable) > 0 {
		return usable[c.offset%len(usable)]
	}
	if usable := c.usable(""); len(usable) > 0 {
		return usable[c.offset%len(usable)]
	}
	// All are said to be gone, which is more likely a passing fault of ours.
	c.gone = nil
	all := c.known()
	if len(all) == 0 {
		return ""
	}
	return all[c.offset%len(all)]
}

// fail notes that an entry could not be used.
func (c *entryCache) fail(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.gone, address) {
		c.gone = append(c.gone, address)
	}
}

// refresh asks the known entries and then the seeds until one answers. Without
// an answer the old one stays in use for a moment.
func (c *entryCache) refresh(ctx context.Context) {
	for _, address := range c.known() {
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		entries, age, err := c.ask(ask, address)
		cancel()
		if err != nil || len(entries) == 0 {
			continue
		}
		c.entries = entries
		c.gone = nil
		c.until = time.Now().Add(age)
		return
	}
	c.until = time.Now().Add(askTimeout)
}

// known returns the entries of the last answer, those not gone first, and then
// the seeds.
func (c *entryCache) known() []string {
	all := c.usable("")
	for _, list := range [][]string{c.entries, c.seeds} {
		for _, address := range list {
			if !slices.Contains(all, address) {
				all = append(all, address)
			}
		}
	}
	return all
}

// usable returns the entries of the last answer that are not gone and not avoid.
func (c *entryCache) usable(avoid string) []string {
	usable := make([]string, 0, len(c.entries))
	for _, address := range c.entries {
		if address != avoid && !slices.Contains(c.gone, address) {
			usable = append(usable, address)
		}
	}
	return usable
}
