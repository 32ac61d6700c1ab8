package memlimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestBytesAreGivenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(10)
		assert.Assert(t, l.Take(8))
		order := make(chan int64, 3)
		var wg sync.WaitGroup
		for _, n := range []int64{6, 7, 4} {
			wg.Go(func() {
				assert.Assert(t, l.Wait(t.Context(), n, time.Minute))
				order <- n
				time.Sleep(time.Second)
				l.Give(n)
			})
			synctest.Wait()
		}
		assert.Assert(t, !l.Take(1)) // others wait
		l.Give(8)
		wg.Wait()
		assert.DeepEqual(t, []int64{<-order, <-order, <-order}, []int64{6, 7, 4})
		assert.Equal(t, l.Used(), int64(0))
	})
}

func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(10)
		assert.Assert(t, !l.Wait(t.Context(), 11, time.Hour)) // never
		assert.Assert(t, l.Take(10))
		began := time.Now()
		assert.Assert(t, !l.Wait(t.Context(), 5, time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !l.Wait(ctx, 5, time.Hour))
		l.Give(10)
		assert.Assert(t, l.Take(10))
	})
}

// Guards against bytes that are lost, or given twice, as waits end while bytes are given back.
func TestBytesAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(100)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(1, uint64(i)))
				for range 20 {
					n := 1 + r.Int64N(60)
					if l.Wait(t.Context(), n, time.Duration(r.IntN(50))*time.Millisecond) {
						assert.Assert(t, l.Used() <= 100)
						time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
						l.Give(n)
					}
				}
			})
		}
		wg.Wait()
		assert.Equal(t, l.Used(), int64(0))
	})
}
