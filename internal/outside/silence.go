package outside

import (
	"context"
	"sync"
	"time"
)

// suspectAge is how old a waiting watch is before a timeout elsewhere ends it:
// in a slow API, where calls time out all the time, watches must not be
// started again for each of them.
const suspectAge = 5 * time.Second

// errSuspected ends a watch whose connection may have gone silent.
var errSuspected = Error.New("another call timed out; the connection may be silent")

// silence holds the waiting watches of one API.
type silence struct {
	mu      sync.Mutex
	waiting map[*waitingWatch]struct{}
}

type waitingWatch struct {
	since  time.Time
	cancel context.CancelCauseFunc
}

// guard returns a context that ends when the connection is suspected of being
// silent. The returned function must be called.
func (s *silence) guard(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waitingWatch{since: time.Now(), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[*waitingWatch]struct{})
	}
	s.waiting[w] = struct{}{}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, w)
		cancel(nil)
	}
}

// suspect ends the watches that have waited for some time.
func (s *silence) suspect(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiting {
		if now.Sub(w.since) >= suspectAge {
			w.cancel(errSuspected)
		}
	}
}
