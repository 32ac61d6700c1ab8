package follow

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// answer is the store's answer to one call, after a delay.
type answer struct {
	delay    time.Duration
	changes  []string
	revision uint64
	err      error
}

// script is a store that gives prepared answers to lists and watches. After the last one
// it doesn't answer until the context ends.
type script struct {
	objects.Store
	answers []answer
	from    uint64
	calls   []string
}

func (s *script) next(ctx context.Context, call string) answer {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return answer{err: ctx.Err()}
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	time.Sleep(a.delay)
	return a
}

func (s *script) List(ctx context.Context, _ string) ([]objects.Object, uint64, error) {
	a := s.next(ctx, "list")
	all := make([]objects.Object, len(a.changes))
	for i, name := range a.changes {
		all[i].Name = name
	}
	return all, a.revision, a.err
}

func (s *script) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	a := s.next(ctx, fmt.Sprintf("watch %d for %v", after, wait))
	all := make([]objects.Change, len(a.changes))
	for i, name := range a.changes {
		all[i].Object.Name = name
	}
	return all, a.revision, a.err
}

// recorder is a Handler that records its calls.
type recorder struct{ lines []string }

func (h *recorder) Listed(all []objects.Object, _ uint64) {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Name
	}
	h.lines = append(h.lines, "listed "+strings.Join(names, " "))
}

func (h *recorder) Changed(all []objects.Change, _ uint64) {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Object.Name
	}
	h.lines = append(h.lines, "changed "+strings.Join(names, " "))
}

func (h *recorder) Lost(err error) { h.lines = append(h.lines, "lost: "+err.Error()) }

func (h *recorder) Recovered(time.Time) { h.lines = append(h.lines, "returned") }

type testTiming struct{ backoff Backoff }

func (testTiming) WatchTimeout() time.Duration { return 3 * time.Second }

func (testTiming) BatchDelay() time.Duration { return 100 * time.Millisecond }

func (p testTiming) Backoff() Backoff { return p.backoff }

func always() bool { return true }

// run runs a Follower against the script for a minute.
func run(t *testing.T, s *script, h *recorder) *Follower {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f := New(s, "things", h, testTiming{FastBackoff()})
	f.Run(ctx, s.from, always)
	return f
}

func TestWatchContinuesFromTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{changes: []string{"a", "b"}, revision: 7},
			{changes: []string{"c"}, revision: 9},
			{revision: 9},
		}}
		h := &recorder{}
		run(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a b", "changed c"})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "watch 9 for 3s", "watch 9 for 3s"})
	})
}

// Guards against keeping endpoints that are gone, where the store discards its history
// while a watch waits. The missed changes can't be fetched, so the follower must list
// again.
func TestLostHistoryIsFollowedByANewList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{changes: []string{"a"}, revision: 7},
			{err: objects.ErrGone},
			{changes: []string{"b"}, revision: 20},
		}}
		h := &recorder{}
		run(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a", "listed b"})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "list", "watch 20 for 3s"})
	})
}

// Guards against saturating the store and its network links for seconds, where a hundred
// daemons start to watch the store at the same moment. Each has a list from another daemon
// and must continue from that list's revision.
func TestFollowerContinuesFromAKnownRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{from: 7, answers: []answer{{changes: []string{"c"}, revision: 9}}}
		h := &recorder{}
		run(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"changed c"})
		assert.DeepEqual(t, s.calls, []string{"watch 7 for 3s", "watch 9 for 3s"})
	})
}

// The store doesn't answer some calls and recovers without a change. The handler must be
// notified of both, once each: until it learns of the recovery, it treats its state as
// stale.
func TestOutageAndItsEndAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noAnswer := errors.New("no answer")
		s := &script{answers: []answer{
			{changes: []string{"a"}, revision: 7},
			{delay: time.Second, err: noAnswer},
			{delay: time.Second, err: noAnswer},
			{delay: time.Second, revision: 7},
			{delay: time.Second, revision: 7},
		}}
		h := &recorder{}
		run(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a", "lost: no answer", "returned", "changed "})
	})
}

// Guards against receiving old changes as new ones, where an answer repeats or lowers the
// revision. The next watch must not start from an earlier revision.
func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{revision: 7}, {changes: []string{"a"}, revision: 9}, {changes: []string{"b"}, revision: 3},
		}}
		run(t, s, &recorder{})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "watch 9 for 3s", "watch 9 for 3s"})
	})
}

// Guards against calling a store that fails at once in a busy loop: all daemons share its
// rate limit, and each call is billed.
func TestFailedCallsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		for range 1000 {
			s.answers = append(s.answers, answer{err: errors.New("status 503")})
		}
		run(t, s, &recorder{})
		assert.Assert(t, len(s.calls) > 60 && len(s.calls) < 400, "%d calls in a minute", len(s.calls))
	})
}

// timeRecorder records the time of the last change.
type timeRecorder struct {
	recorder
	at time.Time
}

func (s *timeRecorder) Changed([]objects.Change, uint64) { s.at = time.Now() }

// Guards against a late recovery, where the backoff is added to the time that a call took
// before it failed.
func TestLongFailedCallIsRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime, calls = 2 * time.Second, 5
		s := &script{answers: []answer{{revision: 7}}}
		for range calls {
			s.answers = append(s.answers, answer{delay: callTime, err: errors.New("no answer")})
		}
		s.answers = append(s.answers, answer{changes: []string{"a"}, revision: 9})
		h := &timeRecorder{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		New(s, "things", h, testTiming{FastBackoff()}).Run(ctx, 0, always)
		assert.Equal(t, h.at.Sub(began), calls*callTime)
	})
}

// failingStore is a store whose lists fail until a time.
type failingStore struct {
	objects.Store
	recoversAt time.Time
	calls      *atomic.Int64
}

func (r failingStore) List(ctx context.Context, _ string) ([]objects.Object, uint64, error) {
	r.calls.Add(1)
	if time.Now().Before(r.recoversAt) {
		return nil, 0, errors.New("status 503")
	}
	return nil, 7, nil
}

func (r failingStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 7, ctx.Err()
}

// The store rejects all calls for ten seconds, and all daemons of a fleet call it. The
// rate of failed calls must not grow with the fleet, and each daemon must have its list
// soon after the store recovers.
func TestFleetBackoffBoundsCallsDuringAnOutage(t *testing.T) {
	for _, daemons := range []int{30, 195, 340} {
		synctest.Test(t, func(t *testing.T) {
			const outage = 10 * time.Second
			calls := &atomic.Int64{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var followers []*Follower
			for range daemons {
				f := New(failingStore{recoversAt: time.Now().Add(outage), calls: calls}, "things", &recorder{}, testTiming{FleetBackoff(daemons)})
				followers = append(followers, f)
				go f.Run(ctx, 0, always)
			}
			time.Sleep(outage)
			// Two quick calls by each daemon at first, then some seventy a second in total.
			assert.Assert(t, calls.Load() <= int64(3*daemons+70*10), "%d calls of %d daemons", calls.Load(), daemons)
			time.Sleep(8 * time.Second)
			for _, f := range followers {
				assert.Assert(t, !f.Lost())
				assert.Equal(t, f.Revision(), uint64(7))
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a watch that is billed but not used, where a daemon lists the objects and
// then relies on another daemon for changes.
func TestNoWatchStartsThatIsNotDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{{changes: []string{"a"}, revision: 7}, {revision: 7}}}
		f := New(s, "things", &recorder{}, testTiming{FastBackoff()})
		f.Run(t.Context(), 0, func() bool { return f.Revision() == 0 })
		assert.DeepEqual(t, s.calls, []string{"list"})
	})
}
