package feed

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
)

// Several readers ask now and then, some after thousands of changes, some of a
// log that was begun anew. After each answer a reader has what the log has.
func TestReadersEndWithTheLogsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type reader struct {
			at   Position
			have map[string]string
		}
		readers := [3]reader{}
		log := NewLog(1)
		state := map[string]string{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				log = NewLog(uint64(step + 2))
			case 1:
				for i := range kept + 10 {
					log.Set([]Item{{Name: fmt.Sprint("x", i)}})
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
				if rapid.Bool().Draw(t, "remove") {
					delete(state, name)
				} else {
					state[name] = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "value"))
				}
			}
			var items []Item
			for n, v := range state {
				items = append(items, Item{n, []byte(v)})
			}
			log.Set(items)
			r := &readers[rapid.IntRange(0, 2).Draw(t, "reader")]
			u := log.Since(r.at)
			if u.Full || r.have == nil {
				r.have = map[string]string{}
			}
			for _, name := range u.Removed {
				delete(r.have, name)
			}
			for _, it := range u.Items {
				r.have[it.Name] = string(it.Spec)
			}
			r.at = u.To
			assert.Assert(t, maps.Equal(r.have, state), "%v, want %v", r.have, state)
		}
	})
}
