package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

const (
	// recordInterval is how often the record of a running roll-out is written.
	recordInterval = time.Second
	// statusRetry is the pause after a status that could not be written.
	statusRetry = 200 * time.Millisecond
)

// runningRollout is a roll-out of which this daemon is the decider.
type runningRollout struct {
	decider       *rollout.Decider
	order         rollout.Order
	revision      uint64 // of the order's object
	recordedAt    time.Time
	writingRecord bool
	writingStatus bool
	hasStatus     bool // the status names this target and isn't final
	final         bool // the status is final
	retry         time.Time
}

// reorder applies an order with the same target and another duration.
func (r *runningRollout) reorder(order rollout.Order) {
	if r.order != order {
		r.order = order
		r.decider.SetOrder(order)
	}
}

// take applies the status of a roll-out from the store. A final phase is never left; a
// final status that the store has lost is written again.
func (r *runningRollout) take(n *Node, o objects.Object) {
	if o.Revision < r.revision {
		return
	}
	r.revision = o.Revision
	target, phase, final := n.platform.DecodeRollout(o)
	r.hasStatus = target == r.order.Target
	switch {
	case !r.hasStatus || !final:
		r.final = false
	case !r.final:
		r.final = true
		r.decider.SetFinal(phase)
	}
}

// logState logs the state of a roll-out.
func (d *rolloutDuty) logState(r *runningRollout, message string) {
	record := r.decider.Record()
	d.log.WithFields(logrus.Fields{
		"service": r.order.Service, "target": r.order.Target, "phase": record.Phase.String(), "reason": record.Reason,
		"asked": record.Asked, "exposed": record.Exposed, "answers": record.Answers, "bad": record.Bad,
		"chance": record.Chance, "route": record.Route, "share": record.Share,
	}).Info(message)
}

// writeRecord writes the record from which a successor resumes.
func (d *rolloutDuty) writeRecord(ctx context.Context, duties *duties, now time.Time, r *runningRollout, record rollout.Record) {
	text, err := json.Marshal(record)
	if err != nil {
		d.log.WithError(err).Error("record not encoded")
		return
	}
	r.writingRecord, r.recordedAt = true, now
	duties.call(ctx, func() func(time.Time) {
		err := d.node.put(ctx, RolloutRecordKind, r.order.Service, text)
		return func(time.Time) {
			r.writingRecord = false
			if err != nil {
				d.log.WithError(err).WithField("service", r.order.Service).Info("record not written")
			}
		}
	})
}

// writeStatus writes the status. Two deciders may write at once: the condition on the
// revision lets one succeed.
func (d *rolloutDuty) writeStatus(ctx context.Context, duties *duties, r *runningRollout, phase rollout.Phase) {
	if _, ok := duties.fence(); !ok {
		return
	}
	status, err := d.node.platform.EncodeRollout(r.order.Target, phase)
	if err != nil {
		d.log.WithError(err).Error("status not encoded")
		return
	}
	r.writingStatus = true
	revision := r.revision
	duties.call(ctx, func() func(time.Time) {
		o, err := d.node.platform.Store.SetStatus(ctx, d.node.platform.RolloutKind, r.order.Service, revision, status)
		return func(now time.Time) { d.statusWritten(now, r, phase, o, err) }
	})
}

// statusWritten handles the result of writing a status.
func (d *rolloutDuty) statusWritten(now time.Time, r *runningRollout, phase rollout.Phase, o objects.Object, err error) {
	r.writingStatus = false
	log := d.log.WithFields(logrus.Fields{"service": r.order.Service, "target": r.order.Target, "phase": phase.String()})
	switch {
	case err == nil:
		r.revision, r.hasStatus = max(r.revision, o.Revision), true
		if phase.Final() {
			r.final = true
			r.decider.SetFinal(phase)
		}
		log.Info("status written")
	case errors.Is(err, objects.ErrConflict) && o.Revision != 0:
		r.retry = now.Add(statusRetry)
		r.take(d.node, o)
		log.Info("status not written: the order has another revision")
	default:
		r.retry = now.Add(statusRetry)
		log.WithError(err).Warn("status not written")
	}
}
