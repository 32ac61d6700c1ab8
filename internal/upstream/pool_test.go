package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call that is refused for a young connection while an old one is idle.
func TestOldConnectionIsTakenWhereOneIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(8, func(context.Context, string) (net.Conn, error) {
			nc, other := net.Pipe()
			t.Cleanup(func() { _ = other.Close() })
			return nc, nil
		})
		get := func(by time.Time) *conn {
			c, err := p.get(t.Context(), "e1", by, "")
			assert.NilError(t, err)
			return c
		}
		old := get(time.Time{})
		by := time.Now()
		time.Sleep(time.Millisecond)
		young := get(time.Time{})
		for _, c := range []*conn{old, young} {
			c.expires = time.Now().Add(time.Minute)
			p.put(c)
		}
		assert.Equal(t, get(by), old)
		assert.Equal(t, get(by), young) // the only one left
		p.put(young)
		p.put(old)
		assert.Equal(t, get(time.Time{}), old)
		time.Sleep(time.Minute)
		assert.Assert(t, get(time.Time{}) != young)
		assert.Equal(t, p.Stats().Dialled, uint64(3))
	})
}
