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

// answer is what the store says to one call; it comes after a while.
type answer struct {
	after    time.Duration
	changes  []string
	revision uint64
	err      error
}

// script is a store that answers lists and watches as written, and then keeps
// silent until the context ends.
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
	time.Sleep(a.after)
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

// heard notes what a follower says.
type heard struct{ lines []string }

func (h *heard) Listed(all []objects.Object, _ uint64) {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Name
	}
	h.lines = append(h.lines, "listed "+strings.Join(names, " "))
}

func (h *heard) Changed(all []objects.Change, _ uint64) {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Object.Name
	}
	h.lines = append(h.lines, "changed "+strings.Join(names, " "))
}

func (h *heard) Lost(err error) { h.lines = append(h.lines, "lost: "+err.Error()) }

func (h *heard) Returned(time.Time) { h.lines = append(h.lines, "returned") }

// pace waits three seconds for a change.
type pace struct{ pauses Pauses }

func (pace) Wait() time.Duration { return 3 * time.Second }

func (pace) Together() time.Duration { return 100 * time.Millisecond }

func (p pace) Pauses() Pauses { return p.pauses }

func always() bool { return true }

// play follows the script for a minute.
func play(t *testing.T, s *script, h *heard) *Follower {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f := New(s, "things", h, pace{Often()})
	f.Run(ctx, s.from, always)
	return f
}

func TestWatchGoesOnFromTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{changes: []string{"a", "b"}, revision: 7},
			{changes: []string{"c"}, revision: 9},
			{revision: 9},
		}}
		h := &heard{}
		play(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a b", "changed c"})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "watch 9 for 3s", "watch 9 for 3s"})
	})
}

// The store drops its history while a watch waits: what happened since isn't to
// be had as changes. The follower must list anew, or it would keep endpoints
// that are gone.
func TestLostHistoryIsListedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{changes: []string{"a"}, revision: 7},
			{err: objects.ErrGone},
			{changes: []string{"b"}, revision: 20},
		}}
		h := &heard{}
		play(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a", "listed b"})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "list", "watch 20 for 3s"})
	})
}

// A hundred daemons turn to the store at the same moment, each with a list that
// another daemon told it. Listed anew by all, the store and their links would be
// busy for seconds.
func TestKnownRevisionIsGoneOnFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{from: 7, answers: []answer{{changes: []string{"c"}, revision: 9}}}
		h := &heard{}
		play(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"changed c"})
		assert.DeepEqual(t, s.calls, []string{"watch 7 for 3s", "watch 9 for 3s"})
	})
}

// The store falls silent for some calls and comes back without a change. The
// handler must hear of both, once each: until it hears of the return it treats
// what it knows as old.
func TestOutageIsToldOnceAndItsEndToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := errors.New("no answer")
		s := &script{answers: []answer{
			{changes: []string{"a"}, revision: 7},
			{after: time.Second, err: silent},
			{after: time.Second, err: silent},
			{after: time.Second, revision: 7},
			{after: time.Second, revision: 7},
		}}
		h := &heard{}
		play(t, s, h)
		assert.DeepEqual(t, h.lines, []string{"listed a", "lost: no answer", "returned", "changed "})
	})
}

// A revision that an answer repeats or lowers must not lead a watch back: it
// would be told old changes as new ones.
func TestRevisionNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{revision: 7}, {changes: []string{"a"}, revision: 9}, {changes: []string{"b"}, revision: 3},
		}}
		play(t, s, &heard{})
		assert.DeepEqual(t, s.calls, []string{"list", "watch 7 for 3s", "watch 9 for 3s", "watch 9 for 3s"})
	})
}

// A store that fails at once must not be called in a busy loop: its rate is
// shared by all daemons, and each call is billed.
func TestFailedCallsAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		for range 1000 {
			s.answers = append(s.answers, answer{err: errors.New("status 503")})
		}
		play(t, s, &heard{})
		assert.Assert(t, len(s.calls) > 60 && len(s.calls) < 400, "%d calls in a minute", len(s.calls))
	})
}

// stamped notes when changes came.
type stamped struct {
	heard
	at time.Time
}

func (s *stamped) Changed([]objects.Change, uint64) { s.at = time.Now() }

// A store that was silent answers again, and its followers pause on top of the call that they gave up.
func TestCallThatWasLongInVainIsFollowedByTheNextAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silent, calls = 2 * time.Second, 5
		s := &script{answers: []answer{{revision: 7}}}
		for range calls {
			s.answers = append(s.answers, answer{after: silent, err: errors.New("no answer")})
		}
		s.answers = append(s.answers, answer{changes: []string{"a"}, revision: 9})
		h := &stamped{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		New(s, "things", h, pace{Often()}).Run(ctx, 0, always)
		assert.Equal(t, h.at.Sub(began), calls*silent)
	})
}

// refusing is a store that refuses all calls until it is back.
type refusing struct {
	objects.Store
	back  time.Time
	calls *atomic.Int64
}

func (r refusing) List(ctx context.Context, _ string) ([]objects.Object, uint64, error) {
	r.calls.Add(1)
	if time.Now().Before(r.back) {
		return nil, 0, errors.New("status 503")
	}
	return nil, 7, nil
}

func (r refusing) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 7, ctx.Err()
}

// The store refuses all calls for ten seconds, at a fleet of any size whose
// daemons all turn to it. What they call in vain must not grow with the fleet, and
// each must have its list soon after the store is back.
func TestFleetThatLostTheStoreCallsItSeldom(t *testing.T) {
	for _, daemons := range []int{30, 195, 340} {
		synctest.Test(t, func(t *testing.T) {
			const outage = 10 * time.Second
			calls := &atomic.Int64{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var followers []*Follower
			for range daemons {
				f := New(refusing{back: time.Now().Add(outage), calls: calls}, "things", &heard{}, pace{Seldom(daemons)})
				followers = append(followers, f)
				go f.Run(ctx, 0, always)
			}
			time.Sleep(outage)
			// Two quick ones each to begin with, then some seventy a second.
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

// A daemon lists and relies on another one's word from then on. A watch that it
// began in between would be billed for nothing.
func TestNoWatchIsBegunThatIsNotDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{{changes: []string{"a"}, revision: 7}, {revision: 7}}}
		f := New(s, "things", &heard{}, pace{Often()})
		f.Run(t.Context(), 0, func() bool { return f.Revision() == 0 })
		assert.DeepEqual(t, s.calls, []string{"list"})
	})
}
