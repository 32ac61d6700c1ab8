package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Several readers get updates now and then, some after thousands of changes, some from a
// new log, as when they switch to another daemon. After each update, a reader must have
// the same items as the log.
func TestReadersReachTheLogsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type reader struct {
			position Position
			items    map[string]string
		}
		readers := [3]reader{}
		log := NewLog(1)
		state := map[string]Item{}
		revision := uint64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				log = NewLog(uint64(step + 2))
			case 1:
				for i := range maxRemovals + 10 {
					revision++
					log.Set(revision, []Item{{Name: fmt.Sprint("x", i), Revision: revision}})
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
				revision++
				if rapid.Bool().Draw(t, "remove") {
					delete(state, name)
				} else {
					value := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "value"))
					state[name] = Item{Name: name, Spec: []byte(value), Revision: revision}
				}
			}
			var items []Item
			for _, it := range state {
				items = append(items, it)
			}
			log.Set(revision, items)
			r := &readers[rapid.IntRange(0, 2).Draw(t, "reader")]
			u := log.Since(r.position)
			if u.Full || r.items == nil {
				r.items = map[string]string{}
			}
			for name := range r.items {
				if len(u.Keys) > 0 && !slices.Contains(u.Keys, rendezvous.ShortKeyOf(name)) {
					delete(r.items, name)
				}
			}
			for _, name := range u.Removed {
				delete(r.items, name)
			}
			for _, it := range u.Items {
				r.items[it.Name] = string(it.Spec)
			}
			r.position = u.To
			want := map[string]string{}
			for name, it := range state {
				want[name] = string(it.Spec)
			}
			assert.Assert(t, maps.Equal(r.items, want), "%v, want %v", r.items, want)
		}
	})
}

// Guards against sending a daemon the items again that it has already listed from the
// source itself, when it starts to follow a log.
func TestUpdateOmitsItemsUpToAKnownRevision(t *testing.T) {
	log := NewLog(1)
	var items []Item
	for i := range 1000 {
		items = append(items, Item{Name: fmt.Sprint("i-", i), Spec: make([]byte, 250), Revision: uint64(i + 1)})
	}
	log.Set(1000, items)
	u := log.Since(Position{Revision: 990})
	assert.Equal(t, len(u.Items), 10)
	assert.Equal(t, len(u.Keys), 1000)
	assert.Assert(t, !u.Full)
	assert.Assert(t, log.Since(Position{}).Full)
}
