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

// extendInterval is how often a run renews its lease on the workspace's
// concurrency: well within the lease.
const extendInterval = 5 * time.Second

// run is one request with its attempts and readers.
type run struct {
	d          *Dispatcher
	ref        request.Ref
	digest     request.Digest
	completion engineapi.CompletionRequest
	body       []byte
	route      routing.Request // its Exclude is set for each pick
	owner      string          // in the ledger

	mu                sync.Mutex
	life              *request.Life
	transfer          uint64 // under which it is held here
	accepted          bool   // some attempt was answered, so the request is accepted
	end               *gateway.Part
	usage             engineapi.Usage
	readers           map[*reader]struct{}
	timer             *time.Timer
	firesAt           time.Time // when timer fires
	lastExtended      time.Time
	cancel            context.CancelFunc // of the newest attempt's connection
	admissionReleased bool               // given back to admission
	firstAt           time.Time          // of the first piece here
	firstLen          int                // of the answer with that piece
	delivered         bool               // some reader came to the end of the whole answer
	handedOver        atomic.Bool        // handed over: only readers still ask for it
}

func (d *Dispatcher) newRun(now time.Time, s *gateway.Submission, ref request.Ref, digest request.Digest) *run {
	r := d.newBareRun(ref, digest, s.Completion, s.Body)
	spec := request.Spec{
		Ref:           ref,
		NonIdempotent: d.opts.NonIdempotent(r.route.Model, ref.Workspace),
		Deadline:      now.Add(d.opts.Timeout),
		PromptTokens:  r.route.PromptTokens,
	}
	r.life = request.NewLife(spec, d.opts.Policy, runBudget{d.budget, r})
	return r
}

// newBareRun returns a run without a life.
func (d *Dispatcher) newBareRun(ref request.Ref, digest request.Digest, c engineapi.CompletionRequest, body []byte) *run {
	model := fleet.ModelRef{Model: c.Model, Adapter: c.Adapter, Version: c.Version}
	blocks, tokens := prompt.Leading(model, c.Messages, nil)
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

// newOwner names one wish to dispatch in the ledger. Failure: the answer is no
// longer kept and its key is sent again. Symptom: an owner named by the key
// alone would find its own record and run the request a second time.
func newOwner(daemon fleet.DaemonID) string {
	return string(daemon) + "/" + uuid.Must(uuid.NewV7()).String()
}

// apply lets the life take an event and carries out its actions.
func (r *run) apply(event func(now time.Time) []request.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(event(time.Now()))
}

// perform carries out actions. Called with the lock held.
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

// totalUsage returns what the answer cost. The last attempt may have been
// given text that others generated, so the count is the answer's own.
func (r *run) totalUsage() engineapi.Usage {
	u := r.usage
	u.PromptTokens = max(u.PromptTokens, r.route.PromptTokens)
	u.CompletionTokens = r.life.Answer().Len()
	return u
}

// arm sets the timer for the life's next deadline. The timer is left alone
// while it fires early enough: a token moves the deadline on, and must not
// cost a timer operation.
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

// wake tells every reader that there is something to read.
func (r *run) wake() {
	for reader := range r.readers {
		select {
		case reader.wake <- struct{}{}:
		default:
		}
	}
}
