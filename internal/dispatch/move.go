package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reclaim"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// cancelTimeout bounds the call that cancels a stream; nothing waits for it.
const cancelTimeout = 2 * time.Second

// move exports the stream's KV cache and imports it at another engine, in the
// background. Called with r.mu held.
func (r *run) move(a request.MoveKV) {
	timeout := r.d.opts.Policy.MoveTimeout
	go func() {
		ctx, cancel := context.WithTimeout(r.d.ctx, timeout)
		defer cancel()
		blob, err := r.transferKV(ctx, a)
		r.apply(func(now time.Time) []request.Action {
			if err != nil {
				r.d.opts.Log.WithField("request", r.ref.ID).Infof("KV cache not moved from %s to %s: %v", a.From, a.To, err)
				return r.life.MoveFailed(now, a.Attempt)
			}
			return r.life.Exported(now, a.Attempt, blob.ID, blob.Generated)
		})
	}()
}

func (r *run) transferKV(ctx context.Context, a request.MoveKV) (engineapi.KVBlob, error) {
	from, ok := r.d.opts.Router.Address(a.From)
	to, ok2 := r.d.opts.Router.Address(a.To)
	if !ok || !ok2 {
		return engineapi.KVBlob{}, errors.New("endpoint not listed")
	}
	blob, err := r.d.opts.Engines.Export(ctx, from, a.Stream)
	if err != nil {
		return blob, err
	}
	return blob, r.d.opts.Engines.Import(ctx, to, blob)
}

// cancelStream stops a stream that is no longer needed, best effort. Called with
// r.mu held.
func (r *run) cancelStream(a request.CancelStream) {
	address, ok := r.d.opts.Router.Address(a.Endpoint)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.d.ctx, cancelTimeout)
		defer cancel()
		if err := r.d.opts.Engines.Cancel(ctx, address, a.Stream); err != nil {
			r.d.opts.Log.WithField("request", r.ref.ID).Debugf("stream not cancelled: %v", err)
		}
	}()
}

// Notice informs the runs that endpoint leaves at leaveAt.
func (d *Dispatcher) Notice(endpoint fleet.EndpointID, leaveAt time.Time) {
	for _, r := range d.running() {
		r.apply(func(now time.Time) []request.Action {
			r.life.Notice(now, endpoint, leaveAt)
			return nil
		})
	}
}

// running returns the runs that have not ended.
func (d *Dispatcher) running() []*run {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*run, 0, d.table.Live())
	for e := range d.table.Running() {
		out = append(out, d.runs[e.Ref])
	}
	return out
}

// Streams returns the runs that are on an endpoint, as input for planning their
// moves. kvBytes is the size of one token's KV cache in bytes.
func (d *Dispatcher) Streams(kvBytes int64) []reclaim.Stream {
	var out []reclaim.Stream
	for _, r := range d.running() {
		if s, ok := r.stream(kvBytes); ok {
			out = append(out, s)
		}
	}
	return out
}

func (r *run) stream(kvBytes int64) (reclaim.Stream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil || r.life.Endpoint() == "" {
		return reclaim.Stream{}, false
	}
	done := r.life.Answer().Len()
	return reclaim.Stream{
		Ref:           r.ref,
		Endpoint:      r.life.Endpoint(),
		Model:         r.route.Model,
		Prompt:        r.route.PromptTokens,
		Generated:     done,
		Remaining:     r.remaining(),
		KVBytes:       int64(r.route.PromptTokens+done) * kvBytes,
		NonIdempotent: r.life.Spec().NonIdempotent,
	}, true
}

// Move performs a planned move of a run, unless the run has left the endpoint
// from which it was to be moved.
func (d *Dispatcher) Move(m reclaim.Move) {
	r := d.lookupRun(m.Ref)
	if r == nil {
		return
	}
	r.apply(func(now time.Time) []request.Action {
		if r.life.Endpoint() != m.From {
			return nil
		}
		switch m.Method {
		case reclaim.ExportKV:
			return r.life.Move(now, m.To)
		case reclaim.Recompute:
			return r.life.Recompute(now, m.To)
		default:
			return nil
		}
	})
}
