package relay

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
)

func TestBodiesAreReadWithinTheLimit(t *testing.T) {
	for _, size := range []int{0, 1, freeBodyBytes, freeBodyBytes + 1, 300_000} {
		for _, length := range []int64{int64(size), -1} {
			l := memlimit.New(1 << 20)
			b, err := NewBodies(l).Read(t.Context(), iotest.OneByteReader(strings.NewReader(strings.Repeat("x", size))), length, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, len(b.Bytes), size)
			assert.Assert(t, size <= freeBodyBytes || l.Used() >= int64(cap(b.Bytes)))
			b.Release()
			b.Release()
			assert.Equal(t, l.Used(), int64(0))
		}
	}
}

func TestBodyThatBreaksOffGivesItsMemoryBack(t *testing.T) {
	broken := errors.New("reset")
	for _, length := range []int64{300_000, -1} {
		l := memlimit.New(1 << 20)
		r := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx")))
		if length < 0 {
			r = iotest.ErrReader(broken)
		}
		b, err := NewBodies(l).Read(t.Context(), r, length, time.Second)
		assert.Assert(t, err != nil && !errors.Is(err, ErrNoMemory))
		b.Release()
		assert.Equal(t, l.Used(), int64(0))
	}
}

// Plays callers with large bodies at twice the rate that the memory allows. Bodies in memory never
// pass the limit, and what is served is what the memory allows.
func TestBodiesUnderLoadAreServedAtTheRateOfTheMemory(t *testing.T) {
	const (
		body, room, callers = 4 << 20, 39, 78
		work, length        = 3 * time.Second, time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		l := memlimit.New(room * body)
		bodies := NewBodies(l)
		var served, refused atomic.Int64
		var wg sync.WaitGroup
		began := time.Now()
		for range callers {
			wg.Go(func() {
				for time.Since(began) < length {
					held := &Body{bodies: bodies}
					if !held.hold(t.Context(), body, maxBodyWait) {
						refused.Add(1)
						time.Sleep(RefuseBody().RetryAfter)
						continue
					}
					assert.Check(t, l.Used() <= room*body)
					time.Sleep(work)
					held.Release()
					served.Add(1)
				}
			})
		}
		wg.Wait()
		possible := float64(room) * length.Seconds() / work.Seconds()
		assert.Assert(t, float64(served.Load()) > 0.9*possible, "%d served of %g, %d refused", served.Load(), possible, refused.Load())
	})
}

func TestBodyIsRefusedAfterItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := memlimit.New(1 << 20)
		assert.Assert(t, l.Take(1<<20))
		began := time.Now()
		_, err := NewBodies(l).Read(context.Background(), strings.NewReader(""), 1<<19, time.Second)
		assert.ErrorIs(t, err, ErrNoMemory)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
	})
}
