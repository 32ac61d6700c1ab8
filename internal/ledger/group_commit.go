package ledger

import (
	"slices"
	"time"
)

// storeRetryDelay is the wait before records that must still be stored are retried
// after a failure of the store.
const storeRetryDelay = time.Second

// GroupCommit records the intents of one ledger shard in batches. Any daemon may
// run one for any shard. A single writer for each (WriterOf) isn't needed for
// safety; it only keeps the number of writes low.
type GroupCommit struct {
	shard    int
	policy   GroupPolicy
	lastCall uint64
	chains   map[int64]*chain // by bucket
	waiting  int              // pending records of all chains
}

// NewGroupCommit returns the shard's writer, which has read nothing yet.
func NewGroupCommit(shard int, policy GroupPolicy) *GroupCommit {
	return &GroupCommit{shard: shard, policy: policy, chains: make(map[int64]*chain)}
}

// Intend requests the right to dispatch.
func (g *GroupCommit) Intend(now time.Time, in Intent) []Action {
	p := &pendingRecord{intent: in, state: Intended, queuedAt: now}
	if g.waiting >= g.policy.MaxWaiting {
		return p.refuse(Overloaded)
	}
	return g.enqueue(now, p)
}

// Outcome stores what the granted request's endpoint answered, best effort.
func (g *GroupCommit) Outcome(now time.Time, in Intent, o Outcome) []Action {
	o = o.bounded()
	return g.enqueue(now, &pendingRecord{intent: in, state: Stored, outcome: &o, queuedAt: now})
}

// Abandon frees the key of an intent whose owner has not dispatched and never
// will: one that was granted, or refused with MaybeRecorded.
func (g *GroupCommit) Abandon(now time.Time, in Intent) []Action {
	return g.enqueue(now, &pendingRecord{intent: in, state: Abandoned, queuedAt: now})
}

func (g *GroupCommit) enqueue(now time.Time, p *pendingRecord) []Action {
	if g.waiting >= g.policy.MaxWaiting {
		return nil
	}
	p.queuedAfter = g.lastCall
	c := g.chain(now, bucketOf(p.intent.Key))
	c.waiting = append(c.waiting, p)
	g.waiting++
	return g.advance(now, c)
}

func (g *GroupCommit) chain(now time.Time, bucket int64) *chain {
	c := g.chains[bucket]
	if c == nil {
		g.evict()
		c = newChain(bucket)
		g.chains[bucket] = c
	}
	c.usedAt = now
	return c
}

// evict removes the least recently used chain if there are too many. It is read
// again when needed.
func (g *GroupCommit) evict() {
	if len(g.chains) < g.policy.MaxChains {
		return
	}
	var oldest *chain
	for _, c := range g.chains {
		if c.evictable() && (oldest == nil || c.usedAt.Before(oldest.usedAt)) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(g.chains, oldest.bucket)
	}
}

// Tick writes the batches that are due and refuses the intents that are late. Call
// it at Next, and every 100 ms while calls are in flight.
func (g *GroupCommit) Tick(now time.Time) []Action {
	var out []Action
	for _, c := range g.chains {
		out = append(out, c.refuseLate(now)...)
		out = append(out, g.advance(now, c)...)
	}
	return out
}

// Next returns when the next batch is due, zero when none waits.
func (g *GroupCommit) Next() time.Time {
	var next time.Time
	for _, c := range g.chains {
		if c.state != chainIdle || len(c.waiting) == 0 {
			continue
		}
		if at := g.due(c); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// due returns when the chain's waiting records are to be written.
func (g *GroupCommit) due(c *chain) time.Time {
	var due time.Time
	for _, p := range c.waiting {
		linger := g.policy.OutcomeLinger
		if p.state == Intended {
			linger = g.policy.Linger
		}
		if at := p.queuedAt.Add(linger); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// advance starts the chain's next call where one is due.
func (g *GroupCommit) advance(now time.Time, c *chain) []Action {
	switch {
	case len(c.waiting) == 0:
		return nil
	case c.state == chainUnread && c.ready(now):
		return g.readChain(c)
	case c.state == chainIdle:
		return g.flush(now, c)
	}
	return nil
}

func (g *GroupCommit) readChain(c *chain) []Action {
	c.state = chainReading
	g.lastCall++
	c.currentCall = g.lastCall
	if !c.listed {
		return []Action{List{Call: c.currentCall, Prefix: chainPrefix(g.shard, c.bucket)}}
	}
	return []Action{Read{Call: c.currentCall, Name: segmentName(g.shard, c.bucket, c.seq)}}
}

// flush answers the owners that the chain's view allows to be answered and, when
// due, writes the rest.
func (g *GroupCommit) flush(now time.Time, c *chain) []Action {
	out, stale := g.resolveWaiting(c)
	if stale {
		return append(out, g.readChain(c)...)
	}
	if len(c.waiting) == 0 || now.Before(g.due(c)) {
		return out
	}
	c.fillBatch()
	c.sealing = len(c.encoded)+len(c.encodedBatch) >= g.policy.SealBytes
	c.state = chainWriting
	g.lastCall++
	c.currentCall = g.lastCall
	return append(out, Write{
		Call: c.currentCall, Name: segmentName(g.shard, c.bucket, c.seq), Version: c.version,
		Value: encodeSegment(c.encoded, c.encodedBatch, c.sealing),
	})
}

// resolveWaiting resolves the waiting records that need no write. stale reports
// that the view is older than an intent that it would deny. The chain is then
// read again: another daemon may have written the shard since, and the owner that
// the view shows may have abandoned the key, so that the intent would be denied
// because of an owner that no longer holds it. A read that began after the intent
// was queued shows who holds the key at a moment between request and answer.
// Denials are rare, so a read for each costs little.
func (g *GroupCommit) resolveWaiting(c *chain) (out []Action, stale bool) {
	before := len(c.waiting)
	c.waiting = slices.DeleteFunc(c.waiting, func(p *pendingRecord) bool {
		if c.viewCall <= p.queuedAfter && p.deniedBy(c.find(p.intent)) {
			stale = true
			return false
		}
		resolved, actions := p.resolve(c.find(p.intent), segmentName(g.shard, c.bucket, c.seq), c.version)
		out = append(out, actions...)
		return resolved
	})
	g.waiting -= before - len(c.waiting)
	return out, stale
}

// chainOfCall returns the chain with a call in flight, nil for a late result.
func (g *GroupCommit) chainOfCall(call uint64) *chain {
	for _, c := range g.chains {
		if c.currentCall == call && (c.state == chainReading || c.state == chainWriting) {
			return c
		}
	}
	return nil
}
