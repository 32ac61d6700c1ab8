package dispatch

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Finished is a whole answer that no caller has read to its end.
type Finished struct {
	Ref    request.Ref
	Digest request.Digest
	Number uint64 // of its transfer
	Model  string
	Tokens []string
	Usage  engineapi.Usage
	Spec   request.Spec
}

// finishedTimeout bounds the time that a leaving daemon spends on answers that
// wait for their callers.
const finishedTimeout = 5 * time.Second

// HandOverFinished gives the whole answers that nobody has read to the end to daemons
// that stay, and returns how many were taken.
//
// Failure: a caller's connection breaks just before its answer is whole, and
// the daemon that keeps the answer leaves. Symptom: the caller resumes and is
// told that the request is unknown. The daemon that takes the answer announces
// it to the directory, so any entry finds it.
func (d *Dispatcher) HandOverFinished(ctx context.Context, self request.Member) int {
	ctx, cancel := context.WithTimeout(ctx, finishedTimeout)
	defer cancel()
	members := d.opts.Peers.Members()
	taken := 0
	for _, f := range d.unreadAnswers() {
		for _, to := range request.Successors(f.Ref.ID, self, members) {
			if ctx.Err() != nil {
				return taken
			}
			if d.opts.Peers.Keep(ctx, to, f) == nil {
				taken++
				break
			}
		}
	}
	return taken
}

// unreadAnswers returns the whole answers that no reader has come to the end of.
func (d *Dispatcher) unreadAnswers() []*Finished {
	d.mu.Lock()
	runs := make([]*run, 0, len(d.runs))
	for ref, r := range d.runs {
		if d.table.Get(ref) != nil {
			runs = append(runs, r)
		}
	}
	d.mu.Unlock()
	var out []*Finished
	for _, r := range runs {
		if f := r.unreadAnswer(); f != nil {
			out = append(out, f)
		}
	}
	return out
}

func (r *run) unreadAnswer() *Finished {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil || !r.end.Done || r.delivered {
		return nil
	}
	return &Finished{
		Ref:    r.ref,
		Digest: r.digest,
		Number: r.transfer + 1,
		Model:  r.completion.Model,
		Tokens: r.life.Answer().Tokens(0),
		Usage:  r.end.Usage,
		Spec:   r.life.Spec(),
	}
}

// Keep takes a whole answer from a leaving daemon. It reports false when this
// one leaves as well or has no room.
func (d *Dispatcher) Keep(f *Finished) bool {
	if d.isLeaving() || !d.hasCapacity() {
		return false
	}
	now := time.Now()
	r := d.newBareRun(f.Ref, f.Digest, engineapi.CompletionRequest{Model: f.Model}, nil)
	r.transfer = f.Number
	r.accepted, r.admissionReleased = true, true
	r.end = &gateway.Part{Done: true, Usage: f.Usage}
	r.life, _ = request.Adopt(now, request.Snapshot{Spec: f.Spec, Attempt: 1, Stream: "ended", Generated: f.Tokens}, d.opts.Policy, d.budget)
	r.life.Done(now, r.life.Attempt(), len(f.Tokens))
	if !d.replace(now, r) {
		return true // it is known here already
	}
	d.mu.Lock()
	d.table.Finish(now, f.Ref)
	d.mu.Unlock()
	d.opts.Locator.Announce(r.holding(true))
	return true
}
