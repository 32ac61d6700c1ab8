package dispatch

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// send sends an offer and applies the reply. A missing reply needs no event,
// since the offer is repeated.
func (d *Dispatcher) send(o request.Offer) {
	d.handover.mu.Lock()
	stored := d.handover.transfers[o.Ref]
	d.handover.mu.Unlock()
	if stored == nil {
		return
	}
	t := *stored
	t.Offer = o
	ctx, cancel := context.WithTimeout(d.ctx, messageTimeout)
	defer cancel()
	reply, err := d.opts.Peers.Offer(ctx, &t)
	switch {
	case err == nil:
		d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction { return h.Replied(now, reply) })
	case verdict.Of(err) == verdict.NotRun && d.isFirstCopy(o):
		d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction { return h.Unsent(now, o) })
	default:
		d.opts.Log.WithField("request", o.Ref.ID).Infof("no reply to the offer to %s: %v", o.To, err)
	}
}

// isFirstCopy reports whether o is the first copy of an offer, and records it.
// That a later copy was not sent proves nothing about the earlier ones.
func (d *Dispatcher) isFirstCopy(o request.Offer) bool {
	d.handover.mu.Lock()
	defer d.handover.mu.Unlock()
	t := d.handover.transfers[o.Ref]
	if t == nil || t.Offer == o {
		return false
	}
	t.Offer = o
	return true
}

// withdraw sends a withdrawal and applies the reply. A missing reply needs no
// event, since the withdrawal is repeated.
func (d *Dispatcher) withdraw(w request.Withdraw) {
	ctx, cancel := context.WithTimeout(d.ctx, messageTimeout)
	defer cancel()
	before, err := d.opts.Peers.Withdraw(ctx, w, time.Now().Add(d.opts.Timeout))
	if err != nil {
		return
	}
	d.applyHandover(func(h *request.Handover, now time.Time) []request.HandoverAction { return h.Withdrawn(now, w, before) })
}
