package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
)

// extendInterval is how often a run renews its lease on its workspace's
// concurrency. It must be well below the duration of the lease.
const extendInterval = 5 * time.Second

// run is one request with its attempts and readers.
type run struct {
	d          *Dispatcher
	ref        request.Ref
	digest     request.Digest
	completion engineapi.CompletionRequest
	body       []byte
	route      routing.Request // its Exclude is set for each pick
	owner      string          // of the intent in the ledger

	mu                sync.Mutex
	life              *request.Lifecycle
	transfer          uint64 // number of the transfer by which it came here, 0 if none
	accepted          bool   // an engine has begun to answer
	end               *gateway.Part
	usage             engineapi.Usage
	readers           map[*reader]struct{}
	timer             *time.Timer
	firesAt           time.Time // when timer fires, zero after it has fired
	lastExtended      time.Time
	cancel            context.CancelFunc // of the newest attempt's connection
	admissionReleased bool               // or the admission is another daemon's to release
	firstAt           time.Time          // when this daemon read its first piece
	firstLen          int                // length of the answer with that piece, in tokens
	delivered         bool               // a reader has read the complete answer to its end
	handedOver        atomic.Bool        // to another daemon; the run is only kept for readers
}

func (d *Dispatcher) newRun(now time.Time, s *gateway.Submission, ref request.Ref, digest request.Digest) *run {
	r := d.newBareRun(ref, digest, s.Completion, s.Body)
	spec := request.Spec{
		Ref:           ref,
		NonIdempotent: d.opts.NonIdempotent(r.route.Model, ref.Workspace),
		Deadline:      now.Add(d.opts.Timeout),
		PromptTokens:  r.route.PromptTokens,
	}
	r.life = request.NewLifecycle(spec, d.opts.Policy, runBudget{d.budget, r})
	return r
}

// newBareRun returns a run whose lifecycle is still to be set.
func (d *Dispatcher) newBareRun(ref request.Ref, digest request.Digest, c engineapi.CompletionRequest, body []byte) *run {
	model := fleet.ModelRef{Model: c.Model, Adapter: c.Adapter, Version: c.Version}
	blocks, tokens := prompt.LeadingBlocks(model, c.Messages, nil)
	return &run{
		d:          d,
		ref:        ref,
		digest:     digest,
		completion: c,
		body:       body,
		owner:      newOwner(d.opts.Daemon),
		readers:    make(map[*reader]struct{}),
		route: routing.Request{
			ID:           ref.ID,
			Workspace:    ref.Workspace,
			Model:        model,
			Blocks:       blocks,
			PromptTokens: tokens,
			MaxTokens:    c.MaxTokens,
			Priority:     d.opts.Priority(ref.Workspace),
		},
	}
}

// newOwner returns a unique owner for an intent in the ledger. An owner derived
// from the request's key alone would take an old record for its own when the
// key is sent again after its answer was dropped, and the request would run a
// second time.
func newOwner(daemon fleet.DaemonID) string {
	return string(daemon) + "/" + uuid.Must(uuid.NewV7()).String()
}

// apply applies an event to the lifecycle and performs the resulting actions.
func (r *run) apply(event func(now time.Time) []request.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(event(time.Now()))
}

// perform performs actions of the lifecycle. Called with r.mu held.
func (r *run) perform(actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.Dispatch:
			r.startAttempt(attempt{number: a.Attempt, avoid: a.Avoid})
		case request.Continue:
			r.startAttempt(attempt{number: a.Attempt, avoid: a.Avoid, endpoint: a.Endpoint, kv: a.KV, text: r.life.Answer().Tokens(0)[:a.From]})
		case request.ResumeStream:
			r.resume(a)
		case request.MoveKV:
			r.move(a)
		case request.CancelStream:
			r.cancelStream(a)
		case request.Finish:
			r.finish(&gateway.Part{Done: true, Usage: r.totalUsage()})
		case request.Fail:
			r.finish(&gateway.Part{Failure: problemOf(a)})
		case request.Transfer:
			r.endHandedOver(a.To)
		}
	}
	r.arm()
}

// totalUsage returns the usage of the complete answer. The last engine may have
// continued text that others generated, so the completion tokens are those of
// the answer.
func (r *run) totalUsage() engineapi.Usage {
	u := r.usage
	u.PromptTokens = max(u.PromptTokens, r.route.PromptTokens)
	u.CompletionTokens = r.life.Answer().Len()
	return u
}

// arm sets the timer for the lifecycle's next deadline. A timer that fires no later
// than that is left as it is: each token postpones the deadline, and must not
// cost a timer operation. Called with r.mu held.
func (r *run) arm() {
	next := r.life.Next()
	if next.IsZero() {
		if r.timer != nil {
			r.timer.Stop()
		}
		return
	}
	if r.timer != nil && !r.firesAt.IsZero() && !next.Before(r.firesAt) {
		return
	}
	r.firesAt = next
	wait := time.Until(next)
	if r.timer == nil {
		r.timer = time.AfterFunc(wait, r.tick)
		return
	}
	r.timer.Reset(wait)
}

func (r *run) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firesAt = time.Time{}
	r.perform(r.life.Tick(time.Now()))
}

// wake signals all readers that there is something to read. Called with r.mu held.
func (r *run) wake() {
	for reader := range r.readers {
		select {
		case reader.wake <- struct{}{}:
		default:
		}
	}
}
