package dispatch

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
)

// reader is one caller's view of a run.
type reader struct {
	run  *run
	wake chan struct{} // of capacity 1: pending signals are merged
	buf  []string      // tokens of the last part, reused
}

var _ gateway.Answer = (*reader)(nil)

func (r *run) newReader() *reader {
	rd := &reader{run: r, wake: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers[rd] = struct{}{}
	return rd
}

// Next implements gateway.Answer. The part's tokens are valid until the next call.
func (rd *reader) Next(ctx context.Context, from int) (gateway.Part, error) {
	for {
		if p, ok := rd.part(from); ok {
			return p, nil
		}
		select {
		case <-rd.wake:
		case <-ctx.Done():
			return gateway.Part{}, ctx.Err()
		}
	}
}

func (rd *reader) part(from int) (gateway.Part, bool) {
	r := rd.run
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.life.Answer()
	rd.buf = rd.buf[:0]
	for i := from; i < answer.Len(); i++ {
		rd.buf = append(rd.buf, answer.Token(i))
	}
	if r.end == nil {
		return gateway.Part{Tokens: rd.buf}, len(rd.buf) > 0
	}
	p := *r.end
	p.Tokens = rd.buf
	r.delivered = r.delivered || p.Done
	return p, true
}

// Model implements gateway.Answer.
func (rd *reader) Model() string { return rd.run.completion.Model }

// Close implements gateway.Answer.
func (rd *reader) Close() {
	rd.run.mu.Lock()
	defer rd.run.mu.Unlock()
	delete(rd.run.readers, rd)
}
