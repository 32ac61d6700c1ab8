package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
)

// retryKind is the kind of the objects by which a daemon that stops passes the state of its
// retry budgets on to the next one on its instance, whose name they have.
const retryKind = "retries"

// retryRecord is the value of such an object. The zero value was taken by a daemon.
type retryRecord struct {
	retry.Record
	Era    uint64        `json:"era"`    // the store's
	At     time.Time     `json:"at"`     // by the fleet's clock
	Steady time.Duration `json:"steady"` // by the machine's steady clock
}

// leaveRetryRecord ends the retry budgets and stores their record. Where that fails, the next
// daemon on this instance starts with a small part of its budgets.
func (n *Node) leaveRetryRecord(ctx context.Context) {
	record, ok := n.state.CloseRetries(time.Now())
	if !ok {
		return
	}
	text, err := json.Marshal(retryRecord{record, n.endpoints.Era(), n.clock.Now(), n.clock.Steady()})
	if err == nil {
		err = n.put(ctx, retryKind, n.retryRecordName(), text)
	}
	if err != nil {
		n.logFor("retries").WithError(err).Info("record not stored")
	}
}

func (n *Node) retryRecordName() string { return string(n.settings.Daemon.Instance) }

// restoreRetries continues from the record of the daemon before on this instance, if there is one.
func (n *Node) restoreRetries(ctx context.Context) {
	if n.settings.Daemon.FirstStart {
		return
	}
	record, err := n.takeRetryRecord(ctx)
	if errors.Is(err, objects.ErrNotFound) {
		return
	}
	log := n.logFor("retries")
	if err == nil {
		err = n.state.RestoreRetries(time.Now(), record.Record, n.clock.Steady()-record.Steady)
	}
	if err != nil {
		log.WithError(err).Info("record not restored")
		return
	}
	log.WithField("services", len(record.Services)).Info("record restored")
}

// takeRetryRecord reads the record and marks it as taken, so that no other daemon uses it: a
// record that is taken twice would hide what was sent in between.
func (n *Node) takeRetryRecord(ctx context.Context) (*retryRecord, error) {
	o, err := n.platform.Store.Get(ctx, retryKind, n.retryRecordName())
	record, err := stored[retryRecord](o, err)
	if err != nil {
		return nil, err
	}
	if record.Window == 0 {
		return nil, objects.ErrNotFound
	}
	o, err = n.platform.Store.Replace(ctx, retryKind, n.retryRecordName(), o.Revision, json.RawMessage("{}"))
	if err != nil {
		return nil, err
	}
	return &record, n.checkRetryRecord(&record, objects.EraOf(o.Revision))
}

// checkRetryRecord returns an error for a record that may not be the last one: one from before the
// store was restored from a copy, or before the machine started.
func (n *Node) checkRetryRecord(r *retryRecord, era uint64) error {
	steady, clock := n.clock.Steady()-r.Steady, n.clock.Now().Sub(r.At)
	switch {
	case r.Era != era:
		return Error.New("the record is of era %d of the store, not %d", r.Era, era)
	case (clock - steady).Abs() > r.Window/2:
		return Error.New("the record is %v old by the steady clock, %v by the time of day", steady, clock)
	}
	return nil
}
