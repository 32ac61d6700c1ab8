package outside

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
	"gotest.tools/v3/assert"
)

func TestObjectsKeepTheirConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clients, _, seen := connect(t, objectstore.New(objectstore.Options{}).Handler(), plenty)
		objects, ctx := clients.Objects.As(budget.Lease), t.Context()

		first, err := objects.Create(ctx, "lease", "a/b ?", json.RawMessage(`{"n":1}`))
		assert.NilError(t, err)
		_, err = objects.Create(ctx, "lease", "a/b ?", json.RawMessage(`{"n":2}`))
		var conflict *Conflict
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, string(conflict.Current.Value), `{"n":1}`)
		assert.Assert(t, NoEffect(err))

		second, err := objects.Update(ctx, "lease", "a/b ?", json.RawMessage(`{"n":3}`), first.Version)
		assert.NilError(t, err)
		_, err = objects.Update(ctx, "lease", "a/b ?", json.RawMessage(`{"n":4}`), first.Version)
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.Current.Version, second.Version)

		read, err := objects.Get(ctx, "lease", "a/b ?")
		assert.NilError(t, err)
		assert.DeepEqual(t, read, second)
		list, err := objects.List(ctx, "lease", "a/")
		assert.NilError(t, err)
		assert.DeepEqual(t, list.Objects, []objectapi.Object{second})

		tombstone, err := objects.Delete(ctx, "lease", "a/b ?", second.Version)
		assert.NilError(t, err)
		_, err = objects.Get(ctx, "lease", "a/b ?")
		var notFound *NotFound
		assert.Assert(t, errors.As(err, &notFound))
		watched, err := objects.Watch(ctx, []string{"lease"}, second.Version, time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, watched.Changes, []objectapi.Object{tombstone})
		assert.DeepEqual(t, seen.results(), []Result{
			ResultOK, ResultConflict, ResultOK, ResultConflict, ResultOK, ResultOK, ResultOK, ResultNotFound, ResultOK,
		})
	})
}

func TestWrongWritesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clients, _, _ := connect(t, objectstore.New(objectstore.Options{}).Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		long := json.RawMessage(`"` + strings.Repeat("x", objectapi.MaxValueBytes) + `"`)
		for name, value := range map[string]json.RawMessage{"long": long, "text": json.RawMessage("{"), "..": json.RawMessage("1")} {
			_, err := objects.Create(t.Context(), "lease", name, value)
			assert.Assert(t, statusOf(err) >= 400, "%s: %v", name, err)
			assert.Assert(t, NoEffect(err))
		}
	})
}

// Guards against a write that took effect, whose answer was lost, and that is reported as not made.
func TestLostAnswerIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		store.SetFaults(objectapi.Faults{LoseAnswers: 1})
		clients, _, _ := connect(t, store.Handler(), plenty)
		_, err := clients.Objects.As(budget.Lease).Create(t.Context(), "lease", "a", json.RawMessage(`1`))
		var lost *Ambiguous
		assert.Assert(t, errors.As(err, &lost))
		assert.Assert(t, !NoEffect(err))
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	})
}

// Guards against reading back after a 503, which states that there was no effect.
func TestUnavailableStoreHadNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		store.SetFaults(objectapi.Faults{Unavailable: true})
		clients, _, _ := connect(t, store.Handler(), plenty)
		_, err := clients.Objects.As(budget.Lease).Create(t.Context(), "lease", "a", json.RawMessage(`1`))
		assert.Assert(t, NoEffect(err), "%v", err)
	})
}

// Guards against calls that go on throughout an outage, or don't resume after it.
func TestOutageStopsTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		store.SetFaults(objectapi.Faults{Outage: true})
		clients, _, _ := connect(t, store.Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		for range 1000 {
			_, err := objects.List(t.Context(), "lease", "")
			assert.Assert(t, NoEffect(err), "%v", err)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, store.Calls().Reads < 20, "%d calls", store.Calls().Reads)
		store.SetFaults(objectapi.Faults{})
		time.Sleep(10 * time.Second)
		_, err := objects.List(t.Context(), "lease", "")
		assert.NilError(t, err)
	})
}
