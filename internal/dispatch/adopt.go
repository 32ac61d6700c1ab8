package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// encode returns the run's completion request for a successor.
func (r *run) encode() ([]byte, error) { return json.Marshal(r.completion) }

// Take decides an offer from a leaving daemon and carries its request on.
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

// adopt carries on a request that was taken over.
func (d *Dispatcher) adopt(now time.Time, t *Transfer, c engineapi.CompletionRequest) {
	ref := t.Offer.Ref
	r := d.newBareRun(ref, t.Digest, c, nil)
	r.transfer = t.Offer.Number
	r.owner = t.Owner
	r.accepted = true
	r.admissionReleased = true // its place was taken, and is given back, at the origin
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

// replace enters a run that was taken over. It replaces one that was handed
// over from here and comes back.
func (d *Dispatcher) replace(now time.Time, r *run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, attach := d.table.Begin(now, r.ref, r.digest, r.life); attach != request.Created {
		return false
	}
	d.runs[r.ref] = r
	return true
}
