package daemon

import (
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// digestInbox holds the newest digest of each daemon until the configuration's
// owner takes them.
//
// A view of a large fleet brings more digests at once than a ring holds. If the oldest were
// dropped, a newer template at one of those daemons would not be fetched while the store is
// down. One entry for each daemon bounds the inbox and loses nothing that is needed.
type digestInbox struct {
	mu     sync.Mutex
	newest map[fleet.DaemonID]template.Digest
}

func (b *digestInbox) put(daemon fleet.DaemonID, d template.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest == nil {
		b.newest = make(map[fleet.DaemonID]template.Digest)
	}
	b.newest[daemon] = d
}

// take returns what was put since the last take, nil for nothing.
func (b *digestInbox) take() map[fleet.DaemonID]template.Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.newest
	b.newest = nil
	return out
}

// drop forgets a daemon that is gone.
func (b *digestInbox) drop(daemon fleet.DaemonID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.newest, daemon)
}
