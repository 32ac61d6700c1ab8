package daemon

import (
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// templateLag tracks for how long this daemon has known of a template that it doesn't have in
// force. It learns of one from the digests of other daemons, so that a change that no daemon has
// isn't seen. Safe for concurrent use.
type templateLag struct {
	mu      sync.Mutex
	inForce uint64
	newest  uint64    // that any daemon is known to have
	since   time.Time // when newest passed inForce
}

// heard takes the digest of another daemon.
func (l *templateLag) heard(now time.Time, d template.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= l.inForce && d.Newest > l.inForce {
		l.since = now
	}
	l.newest = max(l.newest, d.Newest)
}

// published takes the digest of what is in force here. A daemon that has not
// caught up has the zero digest.
func (l *templateLag) published(d template.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = d.Newest
}

// version returns the newest version in force, of any template.
func (l *templateLag) version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce
}

// lag returns the time since a newer version was first heard of, 0 where there
// is none.
func (l *templateLag) lag(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= l.inForce {
		return 0
	}
	return now.Sub(l.since)
}
