package outside

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/objectstore"
	"gotest.tools/v3/assert"
)

// history is a value that holds the mark of every write.
type history []string

func (h history) json() json.RawMessage {
	text, _ := json.Marshal(h)
	return text
}

func historyOf(o objectapi.Object) (h history) {
	_ = json.Unmarshal(o.Value, &h)
	return h
}

func marked(mark string) func(objectapi.Object) bool {
	return func(o objectapi.Object) bool { return slices.Contains(historyOf(o), mark) }
}

// Guards against changes that are reported wrongly where writers race and answers are lost.
func TestRacingWritersAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		clients, _, _ := connect(t, store.Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		_, err := objects.Create(t.Context(), "template", "t", history{}.json())
		assert.NilError(t, err)
		store.SetFaults(objectapi.Faults{LoseAnswers: 0.2, Seed: 4})
		time.Sleep(time.Second) // fills the budget, which would put the writers in a queue

		var mu sync.Mutex
		var accepted []string
		var writers sync.WaitGroup
		for operator := range 10 {
			writers.Go(func() {
				for i := range 50 {
					mark := fmt.Sprint(operator, "-", i)
					current, err := objects.Get(t.Context(), "template", "t")
					assert.Check(t, err)
					amended := append(historyOf(current), mark)
					r := objects.UpdateOrReadBack(t.Context(), "template", "t", amended.json(), current.Version, marked(mark))
					assert.Check(t, r.State == WriteAccepted || r.State == WriteRefused, "%v", r.Err)
					if r.State == WriteAccepted {
						mu.Lock()
						accepted = append(accepted, mark)
						mu.Unlock()
					}
				}
			})
		}
		writers.Wait()
		last, err := objects.Get(t.Context(), "template", "t")
		assert.NilError(t, err)
		final := historyOf(last)
		t.Logf("%d of 500 accepted, %d write calls", len(accepted), store.Calls().Writes)
		slices.Sort(final)
		slices.Sort(accepted)
		assert.DeepEqual(t, []string(final), accepted)
	})
}

// Guards against a write that is reported as refused and arrives after the object was read back.
func TestWriteThatArrivesAfterTheReadBack(t *testing.T) {
	for _, create := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := objectstore.New(objectstore.Options{}).Handler()
			late := &lateWrites{next: store, hold: !create}
			clients, _, _ := connect(t, late, plenty)
			objects := clients.Objects.As(budget.Lease)
			var r WriteResult
			if create {
				late.hold = true
				r = objects.CreateOrReadBack(t.Context(), "template", "t", history{"mine"}.json(), marked("mine"))
			} else {
				late.hold = false
				first, err := objects.Create(t.Context(), "template", "t", history{}.json())
				assert.NilError(t, err)
				late.hold = true
				r = objects.UpdateOrReadBack(t.Context(), "template", "t", history{"mine"}.json(), first.Version, marked("mine"))
			}
			assert.Equal(t, r.State, WriteAccepted, "%v", r.Err)
			late.wait.Wait()
			current, err := objects.Get(t.Context(), "template", "t")
			assert.NilError(t, err)
			assert.Equal(t, current.Version, r.Object.Version)
			assert.DeepEqual(t, historyOf(current), history{"mine"})
		})
	}
}

// lateWrites closes the connection of one write and applies it 60 ms later, after the first reading
// back.
type lateWrites struct {
	next http.Handler
	hold bool
	wait sync.WaitGroup
}

func (l *lateWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut || !l.hold {
		l.next.ServeHTTP(w, r)
		return
	}
	l.hold = false
	body, _ := io.ReadAll(r.Body)
	copied := r.Clone(r.Context())
	copied.Body = io.NopCloser(bytes.NewReader(body))
	l.wait.Go(func() {
		time.Sleep(60 * time.Millisecond)
		l.next.ServeHTTP(httptest.NewRecorder(), copied)
	})
	panic(http.ErrAbortHandler)
}

// Guards against a writer who waits without end where the store goes down during the write.
func TestOutcomeStaysUnknownInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.New(objectstore.Options{})
		store.SetFaults(objectapi.Faults{Outage: true})
		clients, _, _ := connect(t, store.Handler(), plenty)
		objects := clients.Objects.As(budget.Lease)
		r := objects.CreateOrReadBack(t.Context(), "template", "t", history{"mine"}.json(), marked("mine"))
		assert.Equal(t, r.State, WriteUnknown)
		assert.Assert(t, !NoEffect(r.Err))
	})
}
