package caller

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Times of requests for the list of entries.
const (
	// fetchTimeout bounds one request, so that an unresponsive entry delays a caller
	// only briefly before it tries the next. It is also the wait before another
	// refresh after all have failed.
	fetchTimeout = time.Second
	// defaultMaxAge is used where an answer has no maximum age.
	defaultMaxAge = 5 * time.Second
)

// entriesFetcher requests the list of entries to use, and how long to cache it,
// from one entry.
type entriesFetcher func(ctx context.Context, address string) ([]string, time.Duration, error)

// entryCache is one caller's cache of the list of entries. It refreshes the list
// after its maximum age. An entry that failed is avoided until the next refresh.
// Safe for concurrent use.
type entryCache struct {
	fetch  entriesFetcher
	seeds  []string
	offset int // index of the entry to prefer

	mu        sync.Mutex
	entries   []string
	failed    []string  // entries that failed since the last refresh
	refreshAt time.Time // the next refresh is due
}

// pick returns the entry to use, if possible another than avoid. It is empty
// only if there are neither entries nor seeds.
func (c *entryCache) pick(ctx context.Context, avoid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.refreshAt) || len(c.usable("")) == 0 {
		c.refresh(ctx)
	}
	if usable := c.usable(avoid); len(usable) > 0 {
		return usable[c.offset%len(usable)]
	}
	if usable := c.usable(""); len(usable) > 0 {
		return usable[c.offset%len(usable)]
	}
	// All have failed, which is more likely a transient fault on this side.
	c.failed = nil
	all := c.known()
	if len(all) == 0 {
		return ""
	}
	return all[c.offset%len(all)]
}

// markFailed marks an entry as failed.
func (c *entryCache) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.failed, address) {
		c.failed = append(c.failed, address)
	}
}

// refresh requests the list from the known entries and then the seeds until one
// answers. If none does, the old list stays in use for fetchTimeout.
func (c *entryCache) refresh(ctx context.Context) {
	for _, address := range c.known() {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		entries, age, err := c.fetch(fetchCtx, address)
		cancel()
		if err != nil || len(entries) == 0 {
			continue
		}
		c.entries = entries
		c.failed = nil
		c.refreshAt = time.Now().Add(age)
		return
	}
	c.refreshAt = time.Now().Add(fetchTimeout)
}

// known returns the entries of the last answer, those that have not failed first,
// and then the seeds.
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

// usable returns the entries of the last answer that have not failed, without
// avoid.
func (c *entryCache) usable(avoid string) []string {
	usable := make([]string, 0, len(c.entries))
	for _, address := range c.entries {
		if address != avoid && !slices.Contains(c.failed, address) {
			usable = append(usable, address)
		}
	}
	return usable
}
