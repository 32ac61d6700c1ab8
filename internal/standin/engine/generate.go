package engine

import (
	"context"
	"strings"
	"time"
)

// generate runs one stream from the queue to its end.
func (e *Engine) generate(ctx context.Context, s *stream) {
	defer e.work.Done()
	defer close(s.done)
	defer e.keepEnded(s)
	if !e.acquire(ctx, s) {
		return
	}
	defer e.release()
	if e.prefill(ctx, s) {
		e.crash(s)
		e.decode(ctx, s)
	}
}

// crash ends the engine if the prompt has the text of the fault.
func (e *Engine) crash(s *stream) {
	if text := e.currentFaults().CrashOn; text != "" && strings.Contains(s.rendered, text) {
		e.Kill()
	}
}

// decode produces a token each interval. The schedule is absolute, so that
// late wake-ups don't add up; a long pause of the process is not caught up.
func (e *Engine) decode(ctx context.Context, s *stream) {
	const maxBehind = time.Second
	next := time.Now()
	for i := len(s.cont); i < s.total; i++ {
		next = next.Add(e.tokenInterval())
		if time.Since(next) > maxBehind {
			next = time.Now()
		}
		if !sleepUntil(ctx, next) {
			return
		}
		e.generated(s, token(s.seed, i))
		s.produce()
	}
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interval()
}

// generated counts a token and stores the block that it completes.
func (e *Engine) generated(s *stream, text string) {
	full := s.chain.Add(text)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.GeneratedTokens++
	if full {
		e.store(s.chain.Hash())
	}
}

// store puts a block into the cache. The caller holds mu.
func (e *Engine) store(hash uint64) {
	e.o.Registry.Add(hash)
	stored, evicted, full := e.cache.put(hash)
	now := time.Now()
	if stored {
		e.events.add(now, true, hash)
	}
	if full {
		e.events.add(now, false, evicted)
	}
}

// keepEnded marks the stream's end and keeps it for late readers.
func (e *Engine) keepEnded(s *stream) {
	s.finish()
	s.expire(e.o.Linger, func() { e.drop(s) })
	if e.ctx.Err() != nil {
		s.stopTimer()
	}
}

// drop removes a stream that has ended or has no reader.
func (e *Engine) drop(s *stream) {
	if !s.abandoned() {
		return
	}
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s.id)
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
