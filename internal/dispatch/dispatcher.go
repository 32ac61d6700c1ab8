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

// Options are what a Dispatcher is made of.
type Options struct {
	Instance  fleet.InstanceID
	Daemon    fleet.DaemonID
	Engines   Engines
	Router    Router
	Guard     Guard
	Admission Admission
	Locator   Locator
	Intents   Intents
	Peers     Peers
	// NonIdempotent reports whether a completion must not run twice.
	NonIdempotent func(m fleet.ModelRef, workspace fleet.WorkspaceID) bool
	// Model returns the model that serves a workspace's request, with the
	// adapter and version that its template names; false when it may not use it.
	Model func(workspace fleet.WorkspaceID, m fleet.ModelRef) (fleet.ModelRef, bool)
	// Priority returns a workspace's priority at the engines.
	Priority func(workspace fleet.WorkspaceID) int
	Observer Observer
	Policy   request.Policy
	// Address returns the callers' address of a daemon, empty when unknown.
	Address func(fleet.DaemonID) string
	Timeout time.Duration // of a request, from acceptance to the whole answer
	Limits  request.TableLimits
	Log     *logrus.Entry
}

// Dispatcher holds a daemon's requests.
type Dispatcher struct {
	o      Options
	ctx    context.Context // ends when the daemon stops
	stop   context.CancelFunc
	budget *lockedBudget

	handing handover

	mu    sync.Mutex
	table *request.Table
	runs  map[request.Ref]*run
}

var _ gateway.Requests = (*Dispatcher)(nil)

// New returns a dispatcher. Close ends its attempts.
func New(o Options) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		o:      o,
		ctx:    ctx,
		stop:   stop,
		budget: newLockedBudget(),
		handing: handover{
			holdings: request.NewHoldings(o.Daemon),
			held:     make(map[request.Ref]*Transfer),
		},
		table: request.NewTable(o.Limits),
		runs:  make(map[request.Ref]*run),
	}
}

// Close ends all attempts. Requests that still run are lost.
func (d *Dispatcher) Close() { d.stop() }

// Live returns how many requests run.
func (d *Dispatcher) Live() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Live()
}

// Submit implements gateway.Requests.
func (d *Dispatcher) Submit(ctx context.Context, s *gateway.Submission) (gateway.Answer, *problem.Problem) {
	ref := request.Ref{Workspace: s.Workspace, ID: s.ID}
	digest := request.Digest(sha256.Sum256(s.Body))
	if p := d.resolve(s); p != nil {
		return nil, p
	}
	if s.KeySent {
		if a, p := d.known(ctx, ref, digest); a != nil || p != nil {
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
	return r.accept(ctx)
}

// resolve puts the adapter and version of the workspace's template into s.
func (d *Dispatcher) resolve(s *gateway.Submission) *problem.Problem {
	c := &s.Completion
	m, ok := d.o.Model(s.Workspace, fleet.ModelRef{Model: c.Model, Adapter: c.Adapter, Version: c.Version})
	if !ok || (c.Version != "" && m.Version != "" && c.Version != m.Version) {
		return problem.New(http.StatusNotFound, verdict.NotRun, "the workspace has no model %q with this adapter and version", c.Model)
	}
	c.Adapter = m.Adapter
	if c.Version == "" {
		c.Version = m.Version
	}
	return nil
}

// known attaches to a request that has the key already, here or elsewhere.
func (d *Dispatcher) known(ctx context.Context, ref request.Ref, digest request.Digest) (gateway.Answer, *problem.Problem) {
	if r := d.run(ref); r != nil {
		if !r.moved.Load() {
			return nil, nil // begin attaches, and compares the bodies
		}
		if r.digest != digest {
			return nil, keyConflict()
		}
		return r.reader(), nil
	}
	mine := directory.Holding{Request: ref.ID, Workspace: ref.Workspace, Holder: d.o.Instance}
	h := d.o.Locator.Claim(ctx, mine)
	if h.Holder == d.o.Instance {
		return nil, nil
	}
	if h.Workspace != ref.Workspace {
		return nil, keyConflict()
	}
	a, err := d.o.Locator.Follow(ctx, h, digest)
	if errors.Is(err, ErrOtherBody) {
		return nil, keyConflict()
	}
	if err != nil {
		// The holder is gone or has forgotten the request. An idempotent one
		// runs here; the ledger decides about the others.
		d.o.Log.WithField("request", ref.ID).WithError(err).Debug("holder not reached")
		return nil, nil
	}
	return a, nil
}

// begin enters the request in the table, or finds it there.
func (d *Dispatcher) begin(s *gateway.Submission, ref request.Ref, digest request.Digest) (*run, request.Attach, *problem.Problem) {
	now := time.Now()
	r := d.newRun(now, s, ref, digest)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, attach := d.table.Begin(now, ref, digest, r.life)
	switch attach {
	case request.Conflict:
		return nil, attach, keyConflict()
	case request.Full:
		return nil, attach, problem.New(http.StatusServiceUnavailable, verdict.NotRun, "this entry holds as many requests as it may").After(time.Second)
	case request.Attached:
		return d.runs[ref], attach, nil
	}
	d.runs[ref] = r
	d.sweep()
	return r, attach, nil
}

// sweep forgets runs that the table has dropped. Called with the lock held.
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

// run returns the request held here, or the trace of one that was handed over,
// which still says where it went; nil when it is unknown.
func (d *Dispatcher) run(ref request.Ref) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Expire(time.Now())
	r := d.runs[ref]
	if r == nil || (d.table.Get(ref) == nil && !r.moved.Load()) {
		return nil
	}
	return r
}

// Find implements gateway.Requests.
func (d *Dispatcher) Find(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) (gateway.Answer, *problem.Problem) {
	if a := d.Held(workspace, id); a != nil {
		return a, nil
	}
	h, ok := d.o.Locator.Lookup(ctx, workspace, id)
	if !ok || h.Workspace != workspace {
		return nil, unknownRequest()
	}
	a, err := d.o.Locator.Follow(ctx, h, request.Digest{})
	if err != nil {
		return nil, problem.New(http.StatusServiceUnavailable, verdict.MayHaveRun, "the entry that holds the request does not answer").After(time.Second)
	}
	return a, nil
}

// Held returns the answer of a request that this daemon holds, nil otherwise.
func (d *Dispatcher) Held(workspace fleet.WorkspaceID, id fleet.RequestID) gateway.Answer {
	r := d.run(request.Ref{Workspace: workspace, ID: id})
	if r == nil {
		return nil
	}
	return r.reader()
}

// Cancel implements gateway.Requests.
func (d *Dispatcher) Cancel(ctx context.Context, workspace fleet.WorkspaceID, id fleet.RequestID) *problem.Problem {
	if d.CancelHeld(workspace, id) {
		return nil
	}
	h, ok := d.o.Locator.Lookup(ctx, workspace, id)
	if ok && h.Workspace == workspace && d.o.Locator.Cancel(ctx, h) {
		return nil
	}
	return unknownRequest()
}

// CancelHeld cancels a request that this daemon holds. It reports whether the
// request is known.
func (d *Dispatcher) CancelHeld(workspace fleet.WorkspaceID, id fleet.RequestID) bool {
	r := d.run(request.Ref{Workspace: workspace, ID: id})
	if r == nil || r.moved.Load() {
		return false
	}
	r.do(r.life.Cancel)
	return true
}

func unknownRequest() *problem.Problem {
	return problem.New(http.StatusNotFound, verdict.MayHaveRun, "no such request is known, or its answer is no longer kept")
}

// ErrOtherBody says that a key is in use for a request with another body.
var ErrOtherBody = errors.New("the key is in use for another request")

// HeldAs is Held for a caller that sent a body: ErrOtherBody where the request
// has another digest. A zero digest matches any.
func (d *Dispatcher) HeldAs(workspace fleet.WorkspaceID, id fleet.RequestID, digest request.Digest) (gateway.Answer, error) {
	r := d.run(request.Ref{Workspace: workspace, ID: id})
	switch {
	case r == nil:
		return nil, nil
	case digest != request.Digest{} && digest != r.digest:
		return nil, ErrOtherBody
	default:
		return r.reader(), nil
	}
}

func keyConflict() *problem.Problem {
	return problem.New(http.StatusConflict, verdict.NotRun, "the Idempotency-Key is in use for another request")
}
