package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine/enginefault"
)

// Engine is a stand-in of a model engine. Make one with New.
type Engine struct {
	o      Options
	ctx    context.Context // ends with Close or Kill
	cancel context.CancelFunc
	killed chan struct{}
	work   sync.WaitGroup // generating and loading goroutines

	prefilling chan struct{} // holds one token: prefill is serialised
	exporting  chan struct{} // holds one token: exports share the link

	mu      sync.Mutex
	closed  bool
	running int
	// unprefilled is the prompt tokens of running streams before their prefill.
	unprefilled int
	queue       waitQueue
	arrivals    uint64
	cache       *prefixCache
	events      *eventLog
	load        loadHistory
	counters    engineapi.Counters
	streams     map[string]*stream
	blobs       *blobStore
	models      []fleet.ModelRef
	loading     map[fleet.ModelRef]context.CancelFunc
	role        string
	fencing     uint64 // the highest seen
	faults      enginefault.Faults
	conns       *connTable
}

// New returns a running engine. Stop it with Close.
func New(o Options) *Engine {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		o:          o,
		ctx:        ctx,
		cancel:     cancel,
		killed:     make(chan struct{}),
		prefilling: make(chan struct{}, 1),
		exporting:  make(chan struct{}, 1),
		cache:      newPrefixCache(o.CacheBlocks),
		events:     newEventLog(o),
		load:       loadHistory{lag: o.LoadLag},
		streams:    make(map[string]*stream),
		blobs:      newBlobStore(),
		models:     append([]fleet.ModelRef(nil), o.Models...),
		loading:    make(map[fleet.ModelRef]context.CancelFunc),
		conns:      newConnTable(),
	}
	e.load.record(time.Now(), e.currentLoad())
	return e
}

// Close stops all work and waits for it. Open streams end early.
func (e *Engine) Close() {
	e.stop()
	e.work.Wait()
}

// Kill ends the engine as a vanished instance does: connections are cut and
// every later request's too. The owner of the listener closes it on Killed.
func (e *Engine) Kill() {
	e.mu.Lock()
	select {
	case <-e.killed:
	default:
		close(e.killed)
	}
	e.mu.Unlock()
	e.stop()
}

// Killed is closed by Kill.
func (e *Engine) Killed() <-chan struct{} { return e.killed }

func (e *Engine) stop() {
	e.mu.Lock()
	e.closed = true
	streams := e.streams
	e.streams = make(map[string]*stream)
	e.mu.Unlock()
	e.cancel()
	for _, s := range streams {
		s.stopTimer()
	}
}

// Counters returns the totals since New.
func (e *Engine) Counters() engineapi.Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// interval is the time between two tokens of one stream now. It grows mildly
// with the batch. The caller holds mu.
func (e *Engine) interval() time.Duration {
	const growth = 0.02 // of the interval, for each running stream
	batch := 1 + growth*float64(e.running)
	return time.Duration(float64(e.o.TokenInterval) * batch * e.slowness())
}

func (e *Engine) slowness() float64 { return max(1, e.faults.Slow) }

// currentLoad describes the engine now. The caller holds mu.
func (e *Engine) currentLoad() engineapi.Load {
	return engineapi.Load{
		Running:            e.running,
		Queued:             e.queue.Len(),
		QueuedPromptTokens: e.queue.tokens + e.unprefilled,
		Slots:              e.o.Slots,
		CacheBlocks:        e.o.CacheBlocks,
		CacheBlocksUsed:    e.cache.used(),
		PrefillPerSecond:   e.o.PrefillPerSecond,
		TokenMillis:        float64(e.interval()) / float64(time.Millisecond),
	}
}

// changed records the load after a change. The caller holds mu.
func (e *Engine) changed() { e.load.record(time.Now(), e.currentLoad()) }
