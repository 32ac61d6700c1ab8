package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// encode returns the run's completion request as JSON, for a successor.
func (r *run) encode() ([]byte, error) { return json.Marshal(r.completion) }

// Take handles an offer from a leaving daemon. If it is taken, the request
// continues here.
func (d *Dispatcher) Take(t *Transfer) request.Reply {
	now := time.Now()
	canTake := !d.isLeaving() && d.hasCapacity()
	var completion engineapi.CompletionRequest
	if json.Unmarshal(t.Completion, &completion) != nil {
		canTake = false
	}
	ref := t.Offer.Ref
	d.handover.mu.Lock()
	d.ensureCustody(ref, t.Snapshot.Spec.Deadline)
	d.handover.holdings.Expire(now)
	reply, fresh := d.handover.holdings.Take(now, t.Offer, t.Snapshot.Spec.Deadline, canTake)
	d.handover.mu.Unlock()
	if fresh {
		d.adopt(now, t, completion)
	}
	return reply
}

func (d *Dispatcher) hasCapacity() bool { return d.Live() < d.opts.Limits.Live }

// adopt continues a request that was taken over.
func (d *Dispatcher) adopt(now time.Time, t *Transfer, c engineapi.CompletionRequest) {
	ref := t.Offer.Ref
	r := d.newBareRun(ref, t.Digest, c, nil)
	r.transfer = t.Offer.Number
	r.owner = t.Owner
	r.accepted = true
	r.admissionReleased = true // the daemon that admitted the request releases it
	life, actions := request.Adopt(now, t.Snapshot, d.opts.Policy, runBudget{d.budget, r})
	r.life = life
	if !d.replace(now, r) {
		return
	}
	d.opts.Locator.Announce(r.holding(false))
	d.opts.Log.WithField("request", ref.ID).Infof("taken over from %s with %d tokens", t.Offer.From, len(t.Snapshot.Generated))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(actions)
}

// replace adds a run that was taken over, or replaces the one of a request that
// was handed over from here and has come back. It reports false if the request
// is already here.
func (d *Dispatcher) replace(now time.Time, r *run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, attach := d.table.Begin(now, r.ref, r.digest, r.life); attach != request.Created {
		return false
	}
	d.runs[r.ref] = r
	return true
}
