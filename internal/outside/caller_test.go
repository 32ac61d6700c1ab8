package outside

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/outsidetest"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"gotest.tools/v3/assert"
)

// Guards against a write that the Transport sends again by itself on a new connection.
func TestTransportNeverRepeatsAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clients, network, _ := connect(t, objectstore.New(objectstore.Options{}).Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		first, err := objects.Create(t.Context(), "lease", "a", json.RawMessage(`1`))
		assert.NilError(t, err)
		writes := []func() error{
			func() error {
				_, err := objects.Update(t.Context(), "lease", "a", json.RawMessage(`2`), first.Version)
				return err
			},
			func() error { _, err := objects.Delete(t.Context(), "lease", "a", first.Version); return err },
		}
		for _, write := range writes {
			_, err := objects.Get(t.Context(), "lease", "a") // leaves an idle connection
			assert.NilError(t, err)
			before := network.Dialled()
			network.Each((*outsidetest.Conn).Break)
			err = write()
			var lost *Ambiguous
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.Equal(t, network.Dialled(), before)
		}
	})
}

// Guards against calls that try one silent connection after the other.
func TestSilentConnectionsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		clients, network, _ := connect(t, store.Handler(), plenty)
		objects, ctx := clients.Objects.As(budget.Lease), t.Context()
		time.Sleep(time.Second) // fills the budget
		watch := make(chan error, 1)
		go func() {
			answer, err := objects.Watch(ctx, []string{"lease"}, 0, 10*time.Minute)
			assert.Check(t, len(answer.Changes) == 0)
			watch <- err
		}()
		synctest.Wait()
		store.SetFaults(objectapi.Faults{SlowMillis: 100})
		idle := make(chan error)
		for range 3 { // at once, for several idle connections
			go func() {
				_, err := objects.List(ctx, "lease", "")
				idle <- err
			}()
		}
		for range 3 {
			assert.NilError(t, <-idle)
		}
		store.SetFaults(objectapi.Faults{})
		time.Sleep(suspectAge)
		assert.Assert(t, network.Dialled() > 2)
		network.Each((*outsidetest.Conn).Silence)

		start := time.Now()
		_, err := objects.Get(ctx, "lease", "a")
		assert.Assert(t, NoEffect(err), "%v", err)
		_, err = objects.Create(ctx, "lease", "a", json.RawMessage(`1`))
		assert.NilError(t, err)
		assert.NilError(t, <-watch)
		assert.Equal(t, time.Since(start), callTimeout)
	})
}

// Guards against a breaker that opens since callers set deadlines of a few milliseconds.
func TestHurriedCallersDontOpenTheBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		store.SetFaults(objectapi.Faults{SlowMillis: 300})
		clients, _, _ := connect(t, store.Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		for range 20 {
			ctx, cancel := contextWithTimeout(t, 50*time.Millisecond)
			_, err := objects.List(ctx, "lease", "")
			cancel()
			assert.Assert(t, NoEffect(err), "%v", err)
		}
		_, err := objects.List(t.Context(), "lease", "")
		assert.NilError(t, err)
	})
}

// Guards against a caller who waits though its deadline passes before the share allows a call.
func TestOverBudgetIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		clients, _, seen := connect(t, store.Handler(), budget.Config{FleetSize: 100_000})
		ctx, cancel := contextWithTimeout(t, time.Second)
		defer cancel()
		start := time.Now()
		_, err := clients.Objects.Get(ctx, "lease", "a")
		var refused *Refused
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, store.Calls().Reads, uint64(0))
		assert.DeepEqual(t, seen.results(), []Result{ResultRefused})
	})
}
