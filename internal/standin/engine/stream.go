package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
)

// stream is one completion: what was asked and how far its answer is. Tokens
// are not stored, for each is a function of seed and index.
type stream struct {
	id       string
	model    fleet.ModelRef
	rendered string
	prompt   []string // tokens of rendered
	cont     []string // tokens of the answer that came with the request
	seed     uint64
	total    int // tokens of the whole answer
	priority int
	blob     *engineapi.KVBlob // imported KV cache, nil for none
	chain    prompt.Chain      // over prompt and answer; owned by the generating goroutine

	cancel context.CancelFunc
	done   chan struct{} // closed when the generating goroutine is over

	mu        sync.Mutex
	prefilled bool
	cached    int // prompt tokens found in the cache
	produced  int // tokens of the whole answer that exist
	ended     bool
	whole     bool // ended with all tokens
	readers   map[chan struct{}]struct{}
	linger    *time.Timer
}

// progress is what a reader needs to go on writing.
type progress struct {
	produced int
	ended    bool
	whole    bool
	cached   int
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{produced: s.produced, ended: s.ended, whole: s.whole, cached: s.cached}
}

func (s *stream) setPrefilled(cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefilled = true
	s.cached = min(cached, len(s.prompt))
}

// produce makes one more token known.
func (s *stream) produce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.produced++
	s.wakeReaders()
}

// finish marks the end. Readers then see the end or, if tokens are missing,
// their connection closed.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.whole = s.produced >= s.total
	s.wakeReaders()
}

func (s *stream) wakeReaders() {
	for wake := range s.readers {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// attach adds a reader. A linger timer that fires meanwhile finds it.
func (s *stream) attach() chan struct{} {
	wake := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[wake] = struct{}{}
	return wake
}

// detach removes a reader and reports whether the stream now has none.
func (s *stream) detach(wake chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, wake)
	return len(s.readers) == 0 && !s.ended
}

// expire calls drop after d, in place of an earlier timer.
func (s *stream) expire(d time.Duration, drop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linger != nil {
		s.linger.Stop()
	}
	s.linger = time.AfterFunc(d, drop)
}

// abandoned reports whether the stream may be dropped: it has ended, or has no reader.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || len(s.readers) == 0
}

func (s *stream) stopTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linger != nil {
		s.linger.Stop()
	}
}
