package caller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestEntriesAreCachedForTheirMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		c := &entryCache{seeds: []string{"s"}, fetch: func(context.Context, string) ([]string, time.Duration, error) {
			asked++
			return []string{"a", "b"}, 10 * time.Second, nil
		}}
		for range 100 {
			assert.Equal(t, c.pick(t.Context(), ""), "a")
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, asked, 2)
	})
}

// Guards against sending to an entry that has failed: until the list expires the
// caller must use the others. The refresh then must try the seeds as well, since
// the listed entries may not answer.
func TestFailedEntryIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var askedAt []string
		c := &entryCache{seeds: []string{"s"}, fetch: func(_ context.Context, at string) ([]string, time.Duration, error) {
			askedAt = append(askedAt, at)
			if at == "s" {
				return []string{"a", "b"}, time.Second, nil
			}
			return nil, 0, errors.New("refused")
		}}
		assert.Equal(t, c.pick(t.Context(), ""), "a")
		c.markFailed("a")
		assert.Equal(t, c.pick(t.Context(), ""), "b")
		assert.Equal(t, c.pick(t.Context(), "b"), "b")
		time.Sleep(time.Second)
		assert.Equal(t, c.pick(t.Context(), ""), "a")
		assert.DeepEqual(t, askedAt, []string{"s", "b", "a", "s"})
	})
}

func TestSpreadCallersPreferDifferentEntries(t *testing.T) {
	s := &script{entries: []string{"a", "b"}}
	c := New(Options{Transport: s, Seeds: []string{"s"}, Callers: 2, Choice: Spread}, []string{"token"})
	assert.Equal(t, c.cache(0, 0).pick(t.Context(), ""), "a")
	assert.Equal(t, c.cache(0, 1).pick(t.Context(), ""), "b")
}
