package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// handoverInterval is how often a leaving daemon performs what is due.
const handoverInterval = 50 * time.Millisecond

// Transfer is an offer of a request with everything that its addressee needs to
// continue it.
type Transfer struct {
	Offer      request.Offer
	Snapshot   request.Snapshot
	Completion []byte // engineapi.CompletionRequest, JSON
	Digest     request.Digest
	Owner      string // of the intent in the ledger
}

// Peers sends hand-over messages to other daemons. An error of verdict NotRun
// proves that nothing was sent.
type Peers interface {
	Offer(ctx context.Context, t *Transfer) (request.Reply, error)
	// Withdraw returns the holder that the addressee had recorded before. deadline
	// is an upper bound of the request's deadline.
	Withdraw(ctx context.Context, w request.Withdraw, deadline time.Time) (request.Rank, error)
	// Keep sends a finished answer to a daemon. Without an error, the daemon has
	// stored it.
	Keep(ctx context.Context, to fleet.DaemonID, f *Finished) error
	// Members returns the daemons that may take over requests.
	Members() []request.Member
}

// handoverState is the record of which daemon holds each request and, once this
// daemon leaves, the state of the hand-over.
type handoverState struct {
	mu        sync.Mutex
	holdings  *request.OwnershipTable
	leaving   *request.Handover         // nil until the daemon leaves
	transfers map[request.Ref]*Transfer // of the requests that are frozen for an offer
}

// messageTimeout bounds one hand-over message. It can be short, since messages are
// repeated.
const messageTimeout = time.Second

// Leave hands all requests over, or lets them finish, until none is left or ctx
// ends. by is when the hand-over must be over. Requests that are accepted in the
// meantime are included.
func (d *Dispatcher) Leave(ctx context.Context, self request.Member, by time.Time) error {
	d.beginLeaving(self, by)
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		d.handOver(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("requests are still running at the end of the hand-over")
		}
		if ctx.Err() == nil && d.handoverDone() {
			return nil
		}
	}
}

// LeaveBy sets an earlier end of the hand-over, after a second notice.
func (d *Dispatcher) LeaveBy(by time.Time) {
	d.handover.mu.Lock()
	defer d.handover.mu.Unlock()
	if d.handover.leaving != nil {
		d.handover.leaving.Leave(by)
	}
}

func (d *Dispatcher) beginLeaving(self request.Member, by time.Time) {
	d.handover.mu.Lock()
	defer d.handover.mu.Unlock()
	if d.handover.leaving == nil {
		d.handover.leaving = request.NewHandover(self, request.DefaultHandoverPolicy())
	}
	d.handover.leaving.Leave(by)
}

// isLeaving reports whether Leave was called. A leaving daemon takes over no
// requests.
func (d *Dispatcher) isLeaving() bool {
	d.handover.mu.Lock()
	defer d.handover.mu.Unlock()
	return d.handover.leaving != nil
}

func (d *Dispatcher) handoverDone() bool {
	d.handover.mu.Lock()
	settled := d.handover.leaving.Settled()
	d.handover.mu.Unlock()
	return settled && d.Live() == 0
}

// handOver adds new requests to the hand-over and performs what is due.
func (d *Dispatcher) handOver(now time.Time) {
	running := d.running()
	candidates := make([]request.Candidate, 0, len(running))
	for _, r := range running {
		if c, ok := r.candidate(); ok {
			candidates = append(candidates, c)
		}
	}
	members := d.opts.Peers.Members()
	d.handover.mu.Lock()
	h := d.handover.leaving
	h.SetMembers(members)
	for _, c := range candidates {
		h.Add(c, d.handover.holdings.Accept(c.Ref, now.Add(d.opts.Timeout)))
	}
	orders := h.Tick(now)
	d.handover.mu.Unlock()
	d.perform(orders)
}

// candidate describes the run for the hand-over; false before it is accepted and
// after it has ended.
func (r *run) candidate() (request.Candidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepted || r.end != nil {
		return request.Candidate{}, false
	}
	done := r.life.Answer().Len()
	return request.Candidate{
		Ref:       r.ref,
		Cost:      r.route.PromptTokens + done,
		Remaining: r.remaining(),
	}, true
}

// assumedTokenInterval is the time between tokens that is assumed until the pace
// of a stream has been measured.
const assumedTokenInterval = 34 * time.Millisecond

// minPaceTime is how long a stream must have been read before its measured pace
// is used. A resumed stream first delivers at once what was generated in the
// meantime, which would make it look too fast.
const minPaceTime = 250 * time.Millisecond

// remaining estimates the time until the answer is complete, from the pace at
// which this daemon reads it. Tokens that another daemon read don't count:
// otherwise a request that was just taken over would look nearly complete, and
// would be left on an endpoint that leaves. Called with r.mu held.
func (r *run) remaining() time.Duration {
	done := r.life.Answer().Len()
	left := time.Duration(r.route.MaxTokens - done)
	read := time.Duration(done - r.firstLen)
	if r.firstAt.IsZero() || read == 0 || time.Since(r.firstAt) < minPaceTime {
		return left * assumedTokenInterval
	}
	return left * time.Since(r.firstAt) / read
}

// applyHandover applies an event to the hand-over, if one has begun, and performs
// the resulting orders.
func (d *Dispatcher) applyHandover(f func(h *request.Handover, now time.Time) []request.HandoverAction) {
	d.handover.mu.Lock()
	var orders []request.HandoverAction
	if h := d.handover.leaving; h != nil {
		orders = f(h, time.Now())
	}
	d.handover.mu.Unlock()
	d.perform(orders)
}

// perform performs orders of the hand-over.
func (d *Dispatcher) perform(orders []request.HandoverAction) {
	for _, o := range orders {
		switch o := o.(type) {
		case request.Prepare:
			d.prepare(o)
		case request.Send:
			go d.send(o.Offer)
		case request.Withdraw:
			go d.withdraw(o)
		case request.Release:
			d.endTransfer(o.Ref, func(l *request.Lifecycle, now time.Time) []request.Action { return l.Released(now, o.To.Holder) })
		case request.Keep:
			d.endTransfer(o.Ref, func(l *request.Lifecycle, now time.Time) []request.Action { return l.Unfreeze(now) })
		case request.GiveUp:
			d.endTransfer(o.Ref, func(l *request.Lifecycle, now time.Time) []request.Action { return l.OutcomeUnknown(now) })
		}
	}
}

// prepare freezes a run and stores the transfer for its successor.
func (d *Dispatcher) prepare(o request.Prepare) {
	t := d.freeze(o)
	if t == nil {
		d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction {
			h.NotReady(now, o.Ref)
			return nil
		})
		return
	}
	d.handover.mu.Lock()
	d.handover.transfers[o.Ref] = t
	d.handover.mu.Unlock()
	d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction {
		return h.Ready(now, o.Ref, t.Snapshot.SafeToDuplicate())
	})
}

// freeze stops new attempts of a run and returns its transfer, nil if the run
// can't be handed over now.
func (d *Dispatcher) freeze(o request.Prepare) *Transfer {
	r := d.lookupRun(o.Ref)
	if r == nil {
		return nil
	}
	completion, err := r.encode()
	if err != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.life.Freeze(time.Now(), o.Urgent)
	if !ok {
		return nil
	}
	return &Transfer{Snapshot: s, Completion: completion, Digest: r.digest, Owner: r.owner}
}

// endTransfer removes the transfer of a frozen run and applies an event to its
// lifecycle.
func (d *Dispatcher) endTransfer(ref request.Ref, f func(*request.Lifecycle, time.Time) []request.Action) {
	d.handover.mu.Lock()
	delete(d.handover.transfers, ref)
	d.handover.mu.Unlock()
	if r := d.lookupRun(ref); r != nil {
		r.apply(func(now time.Time) []request.Action { return f(r.life, now) })
	}
}

// reportFinished reports to the hand-over that a request ended on this daemon.
func (d *Dispatcher) reportFinished(ref request.Ref) {
	d.applyHandover(func(h *request.Handover, _ time.Time) []request.HandoverAction {
		h.Finished(ref)
		return nil
	})
}

// HandleWithdraw handles a withdrawal by another daemon: rank is the holder that
// supersedes this one. It returns the holder that was recorded before.
func (d *Dispatcher) HandleWithdraw(ref request.Ref, rank request.Rank, deadline time.Time) request.Rank {
	now := time.Now()
	d.handover.mu.Lock()
	d.ensureCustody(ref, deadline)
	before, lost := d.handover.holdings.Withdraw(now, ref, rank, deadline)
	d.handover.mu.Unlock()
	d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction { return h.Learned(now, ref, rank) })
	if lost {
		d.endTransfer(ref, func(l *request.Lifecycle, now time.Time) []request.Action { return l.Withdrawn(now, rank.Holder) })
	}
	return before
}

// ensureCustody records that this daemon holds a request that it accepted, if
// that is not recorded yet. Called with d.handover.mu held.
func (d *Dispatcher) ensureCustody(ref request.Ref, deadline time.Time) {
	if d.handover.holdings.Get(ref) == nil && d.lookupRun(ref) != nil {
		d.handover.holdings.Accept(ref, deadline)
	}
}
