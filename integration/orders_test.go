package integration

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

const (
	callersOfKey = 10 // send the same order at once
	keysAtOnce   = 25
	// orderTries bounds the attempts of one caller, which goes on while the answer is that the order
	// was not run.
	orderTries = 3
)

// pauseTime is how long an entry is stopped: longer than an intent waits for
// the ledger, and in the whole run longer than a lease.
func pauseTime() time.Duration {
	return time.Duration(scaled(int(5*time.Second), int(lease.DefaultConfig.Duration+2*time.Second)))
}

// Guards against orders that run twice, or that ran though all callers were answered they didn't.
func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := deploy(t, options())
	post(t, c.platform()+objectapi.FaultsPath, objectapi.Faults{LoseAnswers: 0.2, Seed: 1})
	keys := make([]string, scaled(100, 1000))
	for i := range keys {
		keys[i] = newKey()
	}
	h := newHistory()
	continued := make(chan struct{})
	atKey := map[int]func(){
		len(keys) / 4: func() {
			c.entries[1].send(t, syscall.SIGSTOP)
			time.AfterFunc(pauseTime(), func() {
				_ = c.entries[1].signal(syscall.SIGCONT)
				close(continued)
			})
		},
		len(keys) / 2: func() { c.entries[2].send(t, syscall.SIGKILL) },
	}
	c.orderAll(h, keys, atKey)
	<-continued
	c.repeatAll(h, keys)
	c.entries[0].stop(t)
	c.entries[1].stop(t)
	c.judge(t, h, keys)
}

// orderAll sends the orders of all keys; a key's event comes just before it.
func (c *cluster) orderAll(h *history, keys []string, at map[int]func()) {
	var all sync.WaitGroup
	places := make(chan struct{}, keysAtOnce)
	for i, key := range keys {
		places <- struct{}{}
		if event := at[i]; event != nil {
			event()
		}
		all.Go(func() {
			defer func() { <-places }()
			c.orderAtOnce(h, key, i)
		})
	}
	all.Wait()
}

// orderAtOnce sends one order by ten callers, each starting at another entry.
// A caller whose order was not run repeats it after the answer's Retry-After.
func (c *cluster) orderAtOnce(h *history, key string, quantity int) {
	entries := c.callers()
	var callers sync.WaitGroup
	for n := range callersOfKey {
		callers.Go(func() {
			for try := range orderTries {
				a := h.try(key, func() attempt { return send(background, entries[(n+try)%len(entries)], key, quantity+1) })
				if a.class != notRun {
					return
				}
				time.Sleep(min(a.wait, time.Second))
			}
		})
	}
	callers.Wait()
}

// repeatAll sends each order once more when all is calm again.
func (c *cluster) repeatAll(h *history, keys []string) {
	var all sync.WaitGroup
	places := make(chan struct{}, keysAtOnce)
	for i, key := range keys {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			h.try(key, func() attempt { return send(background, c.callers()[i%2], key, i+1) })
		})
	}
	all.Wait()
}

// judge compares the callers' answers with what the service ran.
func (c *cluster) judge(t *testing.T, h *history, keys []string) {
	t.Helper()
	runs := c.executions(t)
	told := make(map[class]int)
	silent, mistaken, once, neverTold := 0, 0, 0, 0
	for key, attempts := range h.attempts() {
		allNotRun := true
		for _, a := range attempts {
			told[a.class]++
			allNotRun = allNotRun && a.class == notRun
			// All sendings of a key have one body, so none is a conflict.
			if a.status == http.StatusConflict && a.class == notRun {
				mistaken++
			}
			if a.status != 0 && !a.said {
				silent++
				t.Logf("answer without a verdict: %+v", a)
			}
		}
		assert.Assert(t, runs[key] <= 1, "order %s ran %d times", key, runs[key])
		if allNotRun {
			neverTold++
			assert.Equal(t, runs[key], 0, "all callers of %s were told that it was not run", key)
		}
		once += runs[key]
		h.look(key, runs[key])
	}
	h.check(t)
	assert.Equal(t, silent, 0)
	assert.Equal(t, mistaken, 0, "repeats that were taken for another order under the same key")
	assert.Assert(t, once > len(keys)/2, "only %d of %d orders ran: the test shows little", once, len(keys))
	t.Logf("%d keys: %d ran once, %d were told not-run by all; attempts: %d ran, %d may-have-run, %d not-run",
		len(keys), once, neverTold, told[ran], told[mayHaveRun], told[notRun])
}
