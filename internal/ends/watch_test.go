package ends

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// fixture is a Watch with an endpoint whose state the test sets.
type fixture struct {
	*Watch
	mu        sync.Mutex
	probes    int
	listening bool
	listenErr error
	listed    bool
	leaving   bool
	restarted bool
}

func runWatch(t *testing.T, f func(t *testing.T, s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{listed: true}
		s.Watch = New(Options{
			Table: quarantine.NewTable(1),
			Now:   time.Now,
			Listens: func(context.Context, string) (bool, error) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.probes++
				return s.listening, s.listenErr
			},
			State: func(fleet.EndpointID) (bool, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.listed, s.leaving
			},
			Restarted: func(fleet.EndpointID, time.Time) bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.restarted
			},
			Ended:   func(fleet.EndpointID, *quarantine.Crash, int) {},
			Changed: func(quarantine.Change) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		f(t, s)
		cancel()
		<-done
	})
}

func (s *fixture) disconnect(e fleet.EndpointID, request string, settled bool) {
	first := time.Now().Add(-time.Millisecond)
	if settled {
		first = time.Now().Add(-quarantine.Settled)
	}
	s.Disconnected(Disconnect{
		Endpoint: e, Address: string(e), Request: quarantine.Identity{Request: quarantine.KeyOf("w", "", request, nil)},
		Sent: time.Now().Add(-50 * time.Millisecond), EndedAt: time.Now(), FirstPiece: first,
	})
}

// crashes returns the number of recorded crashes, and the number of suspects of the
// first one and whether it is void.
func (s *fixture) crashes() (crashes, suspects int, void bool) {
	all, _ := s.o.Table.Since(quarantine.Position{})
	if len(all) == 0 {
		return 0, 0, false
	}
	return len(all), len(all[0].Suspects), all[0].Void
}

// A crash ends many attempts, and some disconnects arrive after it was detected.
// The endpoint must be probed once, and the requests whose answers had not
// gone on for a while are the suspects.
func TestEndpointIsProbedOncePerCrash(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		s.disconnect("e", "a", false)
		s.disconnect("e", "b", true)
		time.Sleep(2 * probeDelay)
		s.disconnect("e", "c", false)
		synctest.Wait()
		crashes, suspects, void := s.crashes()
		assert.Equal(t, crashes, 1)
		assert.Equal(t, suspects, 2)
		assert.Assert(t, !void)
		assert.Equal(t, s.probes, 1)
	})
}

// A connection is reset, and shortly afterwards the endpoint crashes.
func TestCrashAfterAResetIsDetected(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		s.listening = true
		s.disconnect("e", "a", false)
		time.Sleep(2 * probeDelay)
		s.mu.Lock()
		s.listening = false
		s.mu.Unlock()
		s.disconnect("e", "b", false)
		time.Sleep(2 * probeDelay)
		crashes, suspects, _ := s.crashes()
		assert.Equal(t, crashes, 1)
		assert.Equal(t, suspects, 1)
	})
}

// An endpoint whose start time is unknown restarts and crashes again.
func TestSecondCrashIsReportedSeparately(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		for range 2 {
			s.disconnect("e", "a", false)
			time.Sleep(5 * time.Second)
		}
		crashes, _, _ := s.crashes()
		assert.Equal(t, crashes, 2)
	})
}

// Only a connection was reset, or the endpoint can't be reached: it has not ended.
func TestNoCrashUnlessTheConnectionIsRefused(t *testing.T) {
	for _, err := range []error{nil, errors.New("no answer")} {
		runWatch(t, func(t *testing.T, s *fixture) {
			s.listening, s.listenErr = err == nil, err
			s.disconnect("e", "a", false)
			time.Sleep(time.Second)
			crashes, _, _ := s.crashes()
			assert.Equal(t, crashes, 0)
		})
	}
}

// The endpoint had announced that it leaves, was not listed any more, or its notice
// arrives shortly after its end.
func TestCrashOfALeavingEndpointIsVoid(t *testing.T) {
	for _, prepare := range []func(s *fixture){
		func(s *fixture) { s.leaving = true },
		func(s *fixture) { s.listed = false },
		func(s *fixture) {},
	} {
		runWatch(t, func(t *testing.T, s *fixture) {
			prepare(s)
			s.disconnect("e", "a", false)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.leaving = true
			s.mu.Unlock()
			time.Sleep(time.Second)
			crashes, _, void := s.crashes()
			assert.Equal(t, crashes, 1)
			assert.Assert(t, void)
		})
	}
}

// The endpoint is removed from the list because it crashed.
func TestRemovalFromTheListDoesNotVoidACrash(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		s.disconnect("e", "a", false)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.listed = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		_, _, void := s.crashes()
		assert.Assert(t, !void)
	})
}

// Guards against a crash that is never counted since the path to the endpoints may be lost.
func TestUndecidedEndCountsOnceTheEndpointHasRestarted(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		s.listenErr = ErrUndecided
		s.disconnect("e", "a", false)
		time.Sleep(time.Second)
		synctest.Wait()
		crashes, _, _ := s.crashes()
		assert.Equal(t, crashes, 0)
		s.mu.Lock()
		s.restarted = true
		s.mu.Unlock()
		time.Sleep(2 * tick)
		synctest.Wait()
		crashes, suspects, void := s.crashes()
		assert.Equal(t, crashes, 1)
		assert.Equal(t, suspects, 1)
		assert.Assert(t, !void)
	})
}

// Guards against a retry that seems to have been sent before the crash that caused it.
func TestQuickRetriesCountAsSeparateCrashes(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		sent := time.Now()
		for _, e := range []fleet.EndpointID{"e1", "e2", "e3"} {
			ended := sent.Add(300 * time.Microsecond)
			time.Sleep(5 * time.Millisecond)
			s.Disconnected(Disconnect{
				Endpoint: e, Address: string(e), Request: quarantine.Identity{Request: quarantine.KeyOf("w", "", "a", nil)}, Sent: sent, EndedAt: ended,
			})
			sent = ended.Add(20 * time.Microsecond)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * probeDelay)
		synctest.Wait()
		assert.Equal(t, s.o.Table.HeldCount(), 1)
	})
}

// Guards against one request at several endpoints that are killed together, which counts once.
func TestEndpointsKilledTogetherCountOnce(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		for i, e := range []fleet.EndpointID{"e1", "e2", "e3", "e4"} {
			s.Disconnected(Disconnect{
				Endpoint: e, Address: string(e), Request: quarantine.Identity{Request: quarantine.KeyOf("w", "", "a", nil)},
				Sent: time.Now().Add(-time.Millisecond), EndedAt: time.Now().Add(time.Duration(i) * 200 * time.Microsecond),
			})
		}
		time.Sleep(2 * probeDelay)
		synctest.Wait()
		assert.Equal(t, s.o.Table.HeldCount(), 0)
	})
}

// Guards against suspects that a daemon reports late, since it can't tell a crash from a lost path.
func TestUndecidedEndIsACrashOnceAnotherDaemonHasRecordedIt(t *testing.T) {
	runWatch(t, func(t *testing.T, s *fixture) {
		s.listenErr = ErrUndecided
		began := time.Now()
		s.disconnect("e", "a", false)
		time.Sleep(2 * tick)
		if crashes, _, _ := s.crashes(); crashes != 0 {
			t.Fatalf("%d crashes before another daemon told", crashes)
		}
		told := quarantine.Crash{Endpoint: quarantine.IncarnationOf("e", time.Time{}), At: began.Add(time.Millisecond)}
		told.AddSuspect(quarantine.Suspect{Request: quarantine.KeyOf("w", "", "b", nil), Sent: began})
		s.o.Table.Add(time.Now(), told)
		time.Sleep(2 * tick)
		synctest.Wait()
		crashes, suspects, _ := s.crashes()
		assert.Equal(t, crashes, 1)
		assert.Equal(t, suspects, 2)
	})
}
