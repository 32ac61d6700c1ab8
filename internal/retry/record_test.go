package retry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sent returns budgets that have used all of their part a second ago, and the time now.
func sent() (*Budgets, time.Time) {
	b := newBudgets(1, true)
	now := start.Add(time.Minute)
	for range 1000 {
		b.Request(now, time.Time{}, service)
	}
	takeAll(b, now)
	return b, now.Add(time.Second)
}

// Guards against a restart that gives a daemon its part of the window again, or none of it.
func TestRecordContinuesTheWindow(t *testing.T) {
	before, now := sent()
	record, ok := before.Close(now)
	assert.Assert(t, ok)
	assert.Equal(t, takeAll(before, now.Add(time.Minute)), 0, "closed")
	text, err := json.Marshal(record)
	assert.NilError(t, err)
	var read Record
	assert.NilError(t, json.Unmarshal(text, &read))

	now = now.Add(2 * time.Second)
	after := NewBudgets(config, now, false)
	after.SetDaemons(1, 0)
	assert.NilError(t, after.Restore(now, read, 2*time.Second))
	assert.Assert(t, after.Status(now)[service].Complete)
	assert.Equal(t, takeAll(after, now), 0)
	now = now.Add(8 * time.Second) // the retries have left the window
	assert.Equal(t, takeAll(after, now), 44)
}

// Guards against records that are stale, damaged or of another configuration.
func TestInvalidRecordChangesNothing(t *testing.T) {
	before, now := sent()
	record, _ := before.Close(now)
	for name, c := range map[string]struct {
		record Record
		age    time.Duration
	}{
		"of the future":    {record, -time.Second},
		"too old":          {record, config.Window/2 + 1},
		"another window":   {Record{Window: time.Minute, Services: record.Services}, 0},
		"no window":        {Record{}, 0},
		"negative":         {Record{config.Window, map[string][]Count{service: {{Retries: -3}}}}, 0},
		"too many buckets": {Record{config.Window, map[string][]Count{service: make([]Count, recordedBuckets+1)}}, 0},
	} {
		b := newBudgets(1, false)
		assert.ErrorContains(t, b.Restore(start, c.record, c.age), "record", name)
		assert.Equal(t, len(b.Status(start)), 0, name)
	}
}

// Guards against a record of a process that didn't know the window itself.
func TestProcessThatDoesNotKnowTheWindowLeavesNoRecord(t *testing.T) {
	_, ok := newBudgets(1, false).Close(start.Add(5 * time.Second))
	assert.Assert(t, !ok)
}
