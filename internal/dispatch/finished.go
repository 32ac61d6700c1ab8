package dispatch

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Finished is a complete answer that no caller has read to its end.
type Finished struct {
	Ref    request.Ref
	Digest request.Digest
	Number uint64 // of the transfer to the daemon that is to store it
	Model  string
	Tokens []string
	Usage  engineapi.Usage
	Spec   request.Spec
}

// finishedTimeout bounds the time that a leaving daemon spends on handing over
// finished answers.
const finishedTimeout = 5 * time.Second

// HandOverFinished hands the complete answers that no caller has read to the end
// to daemons that aren't leaving, and returns how many were stored. Without it, a caller
// whose connection broke just before the end of its answer could not resume
// after the daemon has left: the request would be unknown. The daemon that
// stores the answer announces it to the directory, so that any entry finds it.
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

// unreadAnswers returns the complete answers that no reader has read to the end.
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

// Keep stores a complete answer of a leaving daemon. It reports false if this
// daemon is leaving as well or has no room.
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
		return true // the request is already here
	}
	d.mu.Lock()
	d.table.Finish(now, f.Ref)
	d.mu.Unlock()
	d.opts.Locator.Announce(r.holding(true))
	return true
}
