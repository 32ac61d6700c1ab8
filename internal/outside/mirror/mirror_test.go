package mirror

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/outsidetest"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"gotest.tools/v3/assert"
)

func connect(t *testing.T, store *objectstore.Store) outside.Objects {
	return connectBy(t, outsidetest.Serve(t, store.Handler()))
}

func connectBy(t *testing.T, network *outsidetest.Network) outside.Objects {
	clients, err := outside.New(outside.Options{
		Objects:   "http://objects.test",
		Budget:    budget.Config{FleetSize: 9},
		Seed:      1,
		Transport: network.Transport(t),
	})
	assert.NilError(t, err)
	t.Cleanup(clients.Close)
	return clients.Objects.As(budget.Configuration)
}

// audience is what a mirror's owner knows, under a lock.
type audience struct {
	mu    sync.Mutex
	t     *testing.T
	known told
	gone  int // times that the store no longer knew where the mirror was
}

func (a *audience) onChange(o objectapi.Object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known.hear(a.t, []objectapi.Object{o})
}

func (a *audience) onError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var gone *outside.Gone
	if errors.As(err, &gone) {
		a.gone++
	}
}

func (a *audience) version(name string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[objectKey{"template", name}].Version
}

func mirrored(t *testing.T, source Source) *audience {
	a := &audience{t: t, known: told{}}
	m := New(Options{
		Source:   source,
		Kinds:    []string{"template", "lease"},
		OnChange: a.onChange,
		OnError:  a.onError,
		Random:   rand.New(rand.NewPCG(1, 1)),
	})
	go m.Run(t.Context())
	<-m.Synced()
	return a
}

// barrier separates one client from the store, which works for others.
type barrier struct {
	next http.Handler
	down atomic.Bool
}

func (b *barrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.down.Load() {
		panic(http.ErrAbortHandler)
	}
	b.next.ServeHTTP(w, r)
}

// Guards against a mirror that doesn't recover from an outage, or reports a lower version.
func TestMirrorSurvivesOutagesAndGoneWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{LogChanges: 8})
		way := &barrier{next: store.Handler()}
		network := outsidetest.Serve(t, way)
		a := mirrored(t, connectBy(t, network))
		other := connect(t, store)
		written := make(map[string]uint64)
		for round := range 10 {
			way.down.Store(true)
			network.Each(func(c *outsidetest.Conn) { _ = c.Close() })
			for i := range 20 {
				name := fmt.Sprint("t", i)
				value := json.RawMessage(fmt.Sprint(round))
				o, err := write(t, other, name, value, written[name])
				assert.NilError(t, err)
				written[name] = o.Version
			}
			time.Sleep(10 * time.Second)
			way.down.Store(false)
			time.Sleep(20 * time.Second) // more than a breaker's longest wait and a retry's
		}
		for name, version := range written {
			assert.Equal(t, a.version(name), version, "%s", name)
		}
		assert.Assert(t, a.gone > 0, "the log was never too short")
	})
}

func write(t *testing.T, objects outside.Objects, name string, value json.RawMessage, version uint64) (objectapi.Object, error) {
	if version == 0 {
		return objects.Create(t.Context(), "template", name, value)
	}
	return objects.Update(t.Context(), "template", name, value, version)
}

// Guards against calls of an idle fleet beyond one for each wait.
func TestQuietMirrorCostsOneCallAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		mirrored(t, connect(t, store))
		time.Sleep(time.Hour)
		reads := store.Calls().Reads
		t.Logf("%d reads in an hour", reads)
		assert.Assert(t, reads >= 120 && reads <= 170, "%d reads", reads)
	})
}

// Guards against changes that reach mirrors only at the end of a wait.
func TestMirrorHearsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		a := mirrored(t, connect(t, store))
		time.Sleep(time.Second)
		o, err := write(t, connect(t, store), "t", json.RawMessage(`1`), 0)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, a.version("t"), o.Version)
	})
}

// Guards against a watch that waits though it is the breaker's probe.
func TestWatchAfterAnOutageIsAQuickProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		objects := connect(t, store)
		mirrored(t, objects)
		store.SetFaults(objectapi.Faults{Outage: true})
		time.Sleep(time.Minute)
		store.SetFaults(objectapi.Faults{})
		for before := store.Calls().Reads; store.Calls().Reads == before; {
			time.Sleep(50 * time.Millisecond)
		}
		_, err := objects.As(budget.Lease).List(t.Context(), "lease", "")
		assert.NilError(t, err)
	})
}
