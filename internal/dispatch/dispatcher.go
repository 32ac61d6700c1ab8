package dispatch

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Instance   fleet.InstanceID
	Daemon     fleet.DaemonID
	Engines    Engines
	Router     Router
	Quarantine Quarantine
	Admission  Admission
	Locator    Locator
	Intents    Intents
	Peers      Peers
	// NonIdempotent reports whether a completion must not run twice.
	NonIdempotent func(m fleet.ModelRef, workspace fleet.WorkspaceID) bool
	// Model returns the model that serves a workspace's request, with the
	// adapter and version from its template; false if the workspace may not use
	// it.
	Model func(workspace fleet.WorkspaceID, m fleet.ModelRef) (fleet.ModelRef, bool)
	// Priority returns the priority of a workspace's requests at the engines;
	// higher runs first.
	Priority func(workspace fleet.WorkspaceID) int
	Observer Observer
	Policy   request.Policy
	// CallerAddress returns the address at which a daemon serves callers, empty
	// if it is unknown.
	CallerAddress func(fleet.DaemonID) string
	Timeout       time.Duration // of a request, from its submission to the end of its answer
	Limits        request.TableLimits
	Log           *logrus.Entry
}

// Dispatcher runs a daemon's requests. It is safe for concurrent use.
type Dispatcher struct {
	opts   Options
	ctx    context.Context // ends with Close
	stop   context.CancelFunc
	budget *lockedBudget

	handover handoverState

	mu    sync.Mutex // guards table and runs
	table *request.Table
	runs  map[request.Ref]*run // those in table, and handed-over ones
}

var _ gateway.Requests = (*Dispatcher)(nil)

// New returns a dispatcher, to be closed after use.
func New(o Options) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		opts:   o,
		ctx:    ctx,
		stop:   stop,
		budget: newLockedBudget(),
		handover: handoverState{
			holdings:  request.NewOwnershipTable(o.Daemon),
			transfers: make(map[request.Ref]*Transfer),
		},
		table: request.NewTable(o.Limits),
		runs:  make(map[request.Ref]*run),
	}
}

// Close ends all attempts. Requests that are still running are lost.
func (d *Dispatcher) Close() { d.stop() }

// Live returns the number of running requests.
func (d *Dispatcher) Live() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Live()
}

// Submit implements gateway.Requests.
func (d *Dispatcher) Submit(ctx context.Context, s *gateway.Submission) (gateway.Answer, *problem.Problem) {
	ref := request.Ref{Workspace: s.Workspace, ID: s.ID}
	digest := request.Digest(sha256.Sum256(s.Body))
	if p := d.resolveModel(s); p != nil {
		return nil, p
	}
	if s.KeySent {
		if a, p := d.attachExisting(ctx, ref, digest); a != nil || p != nil {
			return a, p
		}
	}
	r, attach, p := d.begin(s, ref, digest)
	if p != nil {
		return nil, p
	}
	if attach == request.Created {
		d.start(ctx, r)
	}
	return r.waitAccepted(ctx)
}

// resolveModel sets the adapter and version of s from the workspace's template.
func (d *Dispatcher) resolveModel(s *gateway.Submission) *problem.Problem {
	c := &s.Completion
	m, ok := d.opts.Model(s.Workspace, fleet.ModelRef{Model: c.Model, Adapter: c.Adapter, Version: c.Version})
	if !ok || (c.Version != "" && m.Version != "" && c.Version != m.Version) {
		return problem.New(http.StatusNotFound, verdict.NotRun, "the workspace has no model %q with this adapter and version", c.Model)
	}
	c.Adapter = m.Adapter
	if c.Version == "" {
		c.Version = m.Version
	}
	return nil
}

// attachExisting attaches to a request with the same key, on this daemon or on
// another. If it returns neither an answer nor a problem, the caller goes on with
// begin.
func (d *Dispatcher) attachExisting(ctx context.Context, ref request.Ref, digest request.Digest) (gateway.Answer, *problem.Problem) {
	if r := d.lookupRun(ref); r != nil {
		if !r.handedOver.Load() {
			return nil, nil // begin attaches and compares the bodies
		}
		if r.digest != digest {
			return nil, keyConflict()
		}
		return r.newReader(), nil
	}
	own := directory.Holding{Request: ref.ID, Workspace: ref.Workspace, Holder: d.opts.Instance}
	h := d.opts.Locator.Claim(ctx, own)
	if h.Holder == d.opts.Instance {
		return nil, nil
	}
	if h.Workspace != ref.Workspace {
		return nil, keyConflict()
	}
	a, err := d.opts.Locator.Follow(ctx, h, digest)
	if errors.Is(err, ErrOtherBody) {
		return nil, keyConflict()
	}
	if err != nil {
		// The holder is gone or has dropped the request. An idempotent one runs
		// here; for the others the ledger decides.
		d.opts.Log.WithField("request", ref.ID).WithError(err).Debug("answer not read from the holder of the request")
		return nil, nil
	}
	return a, nil
}

// begin adds the request to the table, or attaches to the one that is there.
func (d *Dispatcher) begin(s *gateway.Submission, ref request.Ref, digest request.Digest) (*run, request.BeginResult, *problem.Problem) {
	now := time.Now()
	r := d.newRun(now, s, ref, digest)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, attach := d.table.Begin(now, ref, digest, r.life)
	switch attach {
	case request.Conflict:
		return nil, attach, keyConflict()
	case request.Full:
		return nil, attach, problem.New(http.StatusServiceUnavailable, verdict.NotRun, "this entry holds as many requests as it may").WithRetryAfter(time.Second)
	case request.Attached:
		return d.runs[ref], attach, nil
	}
	d.runs[ref] = r
	d.sweep()
	return r, attach, nil
}

// sweep removes runs that the table has dropped. Called with d.mu held.
func (d *Dispatcher) sweep() {
	if len(d.runs) <= 2*d.table.Len() {
		return
	}
	for ref := range d.runs {
		if d.table.Get(ref) == nil {
			delete(d.runs, ref)
		}
	}
}

// lookupRun returns the run of a request that this daemon holds, or of one that
// it has handed over, whose readers get the address of the new holder; nil if
// neither is there.
func (d *Dispatcher) lookupRun(ref request.Ref) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Expire(time.Now())
	r := d.runs[ref]
	if r == nil || (d.table.Get(ref) == nil && !r.handedOver.Load()) {
		return nil
	}
	return r
}

// Find implements gateway.Requests.
func (d *Dispatcher) Find(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (gateway.Answer, *problem.Problem) {
	if a := d.LocalAnswer(workspace, id); a != nil {
		return a, nil
	}
	h, ok := d.opts.Locator.Lookup(ctx, workspace, id)
	if !ok || h.Workspace != workspace {
		return nil, unknownRequest()
	}
	a, err := d.opts.Locator.Follow(ctx, h, request.Digest{})
	if err != nil {
		return nil, problem.New(http.StatusServiceUnavailable, verdict.MayHaveRun, "the entry that holds the request does not answer").WithRetryAfter(time.Second)
	}
	return a, nil
}

// LocalAnswer returns the answer of a request that this daemon holds or has
// handed over, nil otherwise.
func (d *Dispatcher) LocalAnswer(workspace fleet.WorkspaceID, id fleet.RequestID) gateway.Answer {
	r := d.lookupRun(request.Ref{Workspace: workspace, ID: id})
	if r == nil {
		return nil
	}
	return r.newReader()
}

// Cancel implements gateway.Requests.
func (d *Dispatcher) Cancel(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) *problem.Problem {
	if d.CancelLocal(workspace, id) {
		return nil
	}
	h, ok := d.opts.Locator.Lookup(ctx, workspace, id)
	if ok && h.Workspace == workspace && d.opts.Locator.Cancel(ctx, h) {
		return nil
	}
	return unknownRequest()
}

// CancelLocal cancels a request that this daemon holds. It reports whether there
// is one.
func (d *Dispatcher) CancelLocal(workspace fleet.WorkspaceID, id fleet.RequestID) bool {
	r := d.lookupRun(request.Ref{Workspace: workspace, ID: id})
	if r == nil || r.handedOver.Load() {
		return false
	}
	r.apply(r.life.Cancel)
	return true
}

func unknownRequest() *problem.Problem {
	return problem.New(http.StatusNotFound, verdict.MayHaveRun, "no such request is known, or its answer is no longer kept")
}

// ErrOtherBody is returned for a key that is in use for a request with another
// body.
var ErrOtherBody = errors.New("the key is in use for another request")

// LocalAnswerMatching is LocalAnswer for a caller that sent a body. It returns
// ErrOtherBody if the request has another digest. A zero digest matches any.
func (d *Dispatcher) LocalAnswerMatching(workspace fleet.WorkspaceID, id fleet.RequestID, digest request.Digest) (gateway.Answer, error) {
	r := d.lookupRun(request.Ref{Workspace: workspace, ID: id})
	switch {
	case r == nil:
		return nil, nil
	case digest != request.Digest{} && digest != r.digest:
		return nil, ErrOtherBody
	default:
		return r.newReader(), nil
	}
}

func keyConflict() *problem.Problem {
	return problem.New(http.StatusConflict, verdict.NotRun, "the Idempotency-Key is in use for another request")
}
