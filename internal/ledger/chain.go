package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// chainState is the progress of a chain's calls to the store.
type chainState uint8

const (
	chainUnread  chainState = iota // to be read: never read, or the store failed
	chainReading                   // a read or list is in flight
	chainIdle                      // no call in flight; the view is complete unless another daemon wrote
	chainWriting                   // a write is in flight
)

// recordKey is a key and its workspace: two workspaces may use the same UUID.
type recordKey struct {
	id        uuid.UUID
	workspace fleet.WorkspaceID
}

// chain is a writer's view of the segments of one shard and one bucket of key
// times, and what waits to be written to them. Only the last, unsealed segment is
// written, on condition of its version: a write that takes effect proves that the
// view of the whole chain was complete.
type chain struct {
	bucket       int64
	state        chainState
	listed       bool   // the chain has been listed once
	seq          int    // of the last segment
	version      uint64 // of the last segment, 0 before it exists
	encoded      []byte // the last segment's records, as JSON
	records      map[recordKey]Record
	waiting      []*pendingRecord
	batch        []*pendingRecord // in the write in flight
	encodedBatch []byte           // the batch's records, as JSON
	sealing      bool             // the write in flight seals the segment
	currentCall  uint64           // the call in flight, or the last one
	viewCall     uint64           // the newest call that showed the view to be complete
	usedAt       time.Time
	retryAt      time.Time // no earlier retry for records that the store has failed
}

func newChain(bucket int64) *chain {
	return &chain{bucket: bucket, records: make(map[recordKey]Record)}
}

func keyOf(in Intent) recordKey { return recordKey{id: in.Key.ID, workspace: in.Workspace} }

// find returns the committed record of an intent's key, nil where there is none.
func (c *chain) find(in Intent) *Record {
	r, ok := c.records[keyOf(in)]
	if !ok {
		return nil
	}
	return &r
}

// load adds the segment c.seq, as the store has it, to the view and reports whether
// it is the last: a sealed one has a successor. Version 0 is a segment that does
// not exist yet.
func (c *chain) load(o Object) (last bool, err error) {
	c.encoded, c.version = nil, o.Version
	c.viewCall = c.currentCall
	if o.Version == 0 {
		return true, nil
	}
	var s segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return false, Error.Wrap(err)
	}
	for _, r := range s.Records {
		c.records[recordKey{id: r.Key, workspace: r.Workspace}] = r
		if !s.Sealed {
			c.encoded = appendRecord(c.encoded, r)
		}
	}
	if s.Sealed {
		c.next()
	}
	return !s.Sealed, nil
}

// next moves on to the segment after a sealed one.
func (c *chain) next() {
	c.seq++
	c.version = 0
	c.encoded = nil
}

// commit adds the batch to the view, written as version, and returns it.
func (c *chain) commit(version uint64) []*pendingRecord {
	batch := c.batch
	c.viewCall = c.currentCall
	for _, p := range batch {
		c.records[keyOf(p.intent)] = p.record(c.find(p.intent))
	}
	if c.sealing {
		c.next()
	} else {
		c.version = version
		if len(c.encoded) > 0 && len(c.encodedBatch) > 0 {
			c.encoded = append(c.encoded, ',')
		}
		c.encoded = append(c.encoded, c.encodedBatch...)
	}
	c.batch, c.encodedBatch, c.sealing = nil, nil, false
	c.state = chainIdle
	return batch
}

// requeue puts the batch back at the head of the queue.
func (c *chain) requeue() {
	c.waiting = append(c.batch, c.waiting...)
	c.batch, c.encodedBatch, c.sealing = nil, nil, false
}

// ready reports whether the chain may be read now: at once for new records, after
// a delay for those that the store has failed.
func (c *chain) ready(now time.Time) bool {
	if !now.Before(c.retryAt) {
		return true
	}
	return slices.ContainsFunc(c.waiting, func(p *pendingRecord) bool { return p.attempts == 0 })
}

func (c *chain) evictable() bool {
	return len(c.waiting) == 0 && c.state != chainReading && c.state != chainWriting
}
