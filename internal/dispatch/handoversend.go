package dispatch

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// send makes an offer and takes its reply. Silence needs no event: the offer
// is repeated.
func (d *Dispatcher) send(o request.Offer) {
	d.handing.mu.Lock()
	held := d.handing.held[o.Ref]
	d.handing.mu.Unlock()
	if held == nil {
		return
	}
	t := *held
	t.Offer = o
	ctx, cancel := context.WithTimeout(d.ctx, messageTimeout)
	defer cancel()
	reply, err := d.o.Peers.Offer(ctx, &t)
	switch {
	case err == nil:
		d.event(func(h *request.Handover, now time.Time) []request.Order { return h.Replied(now, reply) })
	case verdict.Of(err) == verdict.NotRun && d.onlyCopy(o):
		d.event(func(h *request.Handover, now time.Time) []request.Order { return h.Unsent(now, o) })
	default:
		d.o.Log.WithField("request", o.Ref.ID).Infof("no answer to an offer to %s: %v", o.To, err)
	}
}

// onlyCopy reports whether this was the first copy of an offer. That nothing
// of a later one left proves nothing about those before it.
func (d *Dispatcher) onlyCopy(o request.Offer) bool {
	d.handing.mu.Lock()
	defer d.handing.mu.Unlock()
	t := d.handing.held[o.Ref]
	if t == nil || t.Offer == o {
		return false
	}
	t.Offer = o
	return true
}

func (d *Dispatcher) withdraw(w request.Withdraw) {
	ctx, cancel := context.WithTimeout(d.ctx, messageTimeout)
	defer cancel()
	before, err := d.o.Peers.Withdraw(ctx, w, time.Now().Add(d.o.Timeout))
	if err != nil {
		return
	}
	d.event(func(h *request.Handover, now time.Time) []request.Order { return h.Withdrawn(now, w, before) })
}
