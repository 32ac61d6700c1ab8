package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// simClass is a machine class: a step of its batch takes step seconds, each
// for every answer in it, and the prefill of up to simChunk prompt tokens.
type simClass struct {
	name                 string
	price, step, each    float64
	prefill              float64 // tokens a second
	slots, blocks, chunk int
}

var simClasses = []simClass{
	{name: "large", price: 3.2, step: 0.011, each: 0.00035, prefill: 14000, slots: 64, blocks: 14000, chunk: 256},
	{name: "small", price: 1.4, step: 0.013, each: 0.0006, prefill: 8000, slots: 40, blocks: 8000, chunk: 128},
}

type simJob struct {
	turn      simTurn
	router    *Router
	predicted int
	todo      int // prompt tokens to compute
	tokens    int // answered
	first     time.Duration
}

// simEngine batches continuously and keeps a cache of prefix blocks.
type simEngine struct {
	fleet   *simFleet
	info    fleet.Endpoint
	class   simClass
	waiting []*simJob
	batch   []*simJob
	active  bool
	cache   map[uint64]uint64 // block to its last use
	uses    uint64
	events  []engineapi.CacheEvent
	next    uint64
	pace    float64 // moving average of step seconds
}

func (e *simEngine) submit(j *simJob) {
	e.waiting = append(e.waiting, j)
	if !e.active {
		e.active = true
		e.fleet.after(0, e.step)
	}
}

// step runs the batch once.
func (e *simEngine) step() {
	e.admit()
	if len(e.batch) == 0 {
		e.active = false
		return
	}
	room, decoding := e.class.chunk, 0
	for _, j := range e.batch {
		n := min(room, j.todo)
		room, j.todo = room-n, j.todo-n
		if j.todo == 0 {
			decoding++
		}
	}
	seconds := e.class.step + e.class.each*float64(decoding) + float64(e.class.chunk-room)/e.class.prefill
	e.pace += 0.05 * (seconds - e.pace)
	e.fleet.work += (seconds - e.class.step) * e.class.price
	e.fleet.busy += seconds * e.class.price
	e.fleet.after(time.Duration(seconds*1e9), func() { e.advance(); e.step() })
}

func (e *simEngine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.class.slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.fleet.now-j.turn.at > simPatience {
			e.finish(j, Cancelled)
			continue
		}
		got := e.use(j.turn.q.Blocks)
		j.todo = max(1, j.turn.q.PromptTokens-got)
		e.fleet.predicted += j.predicted
		if got < j.predicted {
			e.fleet.over += j.predicted - got
		} else {
			e.fleet.under += got - j.predicted
		}
		e.batch = append(e.batch, j)
	}
}

// advance gives each answer whose prompt is computed its next token.
func (e *simEngine) advance() {
	kept := e.batch[:0]
	for _, j := range e.batch {
		if j.todo == 0 {
			j.tokens++
		}
		if j.tokens == 1 && j.first == 0 {
			j.first = e.fleet.now
			j.router.FirstToken(e.fleet.clock(), e.info.ID, j.turn.q.ID)
		}
		if j.tokens < j.turn.q.MaxTokens {
			kept = append(kept, j)
			continue
		}
		e.finish(j, Answered)
	}
	e.batch = kept
}

func (e *simEngine) finish(j *simJob, outcome Outcome) {
	f := e.fleet
	j.router.Finished(f.clock(), e.info.ID, j.turn.q.ID, outcome)
	if j.turn.at < simWarm {
		return
	}
	f.counted++
	pace := (f.now - j.first) / time.Duration(max(1, j.tokens-1))
	if outcome == Answered && j.first-j.turn.at <= defaultFirstToken && pace <= defaultTokenInterval {
		f.good++
	}
}

// use returns the prompt tokens found in the cache and stores the prompt.
func (e *simEngine) use(blocks []uint64) (cached int) {
	hit := true
	for _, b := range blocks {
		_, have := e.cache[b]
		hit = hit && have
		if hit {
			cached += engineapi.BlockTokens
		}
		e.count(b, hit)
		e.uses++
		e.cache[b] = e.uses
		if !have {
			e.publish(engineapi.CacheEvent{Stored: true, Hash: b})
		}
	}
	e.evict()
	return cached
}

func (e *simEngine) count(block uint64, hit bool) {
	f := e.fleet
	if f.now >= simWarm {
		f.prompt += engineapi.BlockTokens
		if !hit && f.known[block] {
			f.recomputed += engineapi.BlockTokens
		}
	}
	f.known[block] = true
}

// evict drops the least recently used blocks, an eighth of the cache at once.
func (e *simEngine) evict() {
	if len(e.cache) <= e.class.blocks {
		return
	}
	oldest := e.uses - uint64(e.class.blocks*7/8)
	for b, used := range e.cache {
		if used <= oldest {
			delete(e.cache, b)
			e.publish(engineapi.CacheEvent{Hash: b})
		}
	}
}

func (e *simEngine) publish(event engineapi.CacheEvent) {
	event.Seq = e.next
	e.next++
	if e.fleet.rng.Float64() >= simLost {
		e.events = append(e.events, event)
	}
}

// report sends load and cache events once a second, which arrive late.
func (e *simEngine) report() {
	f := e.fleet
	load := engineapi.Load{
		TakenAtMillis: f.clock().UnixMilli(), Running: len(e.batch), Queued: len(e.waiting), Slots: e.class.slots,
		CacheBlocks: e.class.blocks, PrefillPerSecond: int(e.class.prefill),
		TokenMillis: 1000 * e.pace,
	}
	for _, j := range e.batch {
		load.QueuedPromptTokens += j.todo
	}
	for _, j := range e.waiting {
		load.QueuedPromptTokens += j.turn.q.PromptTokens
	}
	page := engineapi.CacheEvents{Events: e.events, Next: e.next}
	e.events = nil
	f.after(simLag, func() {
		for _, r := range f.routers {
			r.ReportLoad(f.clock(), e.info.ID, load)
			r.ReportCache(f.clock(), e.info.ID, page)
		}
	})
	if f.now < simEnd {
		f.after(time.Second, e.report)
	}
}
