package objectstore

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

const (
	// maxWait bounds how long one watch waits, so that no connection is held for ever.
	maxWait = 5 * time.Minute
	// maxPage bounds the changes of one answer; the rest follow on the next call.
	maxPage = 1000
)

// watchState is the result of a read of the log.
type watchState uint8

const (
	watchWaits watchState = iota
	watchAnswers
	watchGone
	watchFails // a fault was switched on while the watch waited
)

// watch answers with the changes after since, waiting up to wait for the first.
func (s *Store) watch(ctx context.Context, kinds map[string]bool, since uint64, wait time.Duration) (objectapi.WatchAnswer, watchState) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		answer, state, changed := s.look(kinds, since)
		if state != watchWaits {
			return answer, state
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, watchAnswers
		case <-ctx.Done():
			return answer, watchAnswers
		}
	}
}

func (s *Store) look(kinds map[string]bool, since uint64) (objectapi.WatchAnswer, watchState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := objectapi.WatchAnswer{Changes: []objectapi.Object{}, Version: s.version}
	if s.faults.Outage || s.faults.Unavailable {
		return answer, watchFails, nil
	}
	// A since from the future comes from before a restart of the store.
	if since > s.version || !s.log.reaches(since) {
		return answer, watchGone, nil
	}
	found, more := s.log.after(since, kinds, maxPage)
	if len(found) == 0 {
		return answer, watchWaits, s.changed
	}
	answer.Changes = found
	if more {
		answer.Version = found[len(found)-1].Version
	}
	return answer, watchAnswers, nil
}
