package ledger

import "time"

// Written handles the result of a write.
func (g *GroupCommit) Written(now time.Time, r WriteResult) []Action {
	c := g.chainOfCall(r.Call)
	if c == nil || c.state != chainWriting {
		return nil
	}
	switch r.Status {
	case Written:
		return g.committed(now, c, r.Version)
	case Unavailable:
		return g.storeFailed(now, c)
	case Ambiguous:
		// The write may take effect even after a read that doesn't show it. That
		// is harmless: the next write has the same condition, so only one of the
		// two takes effect, and the conflict shows what the other wrote.
		for _, p := range c.batch {
			p.maybeRecorded = true
		}
	}
	c.requeue()
	if r.Current != nil {
		return g.loaded(now, c, *r.Current)
	}
	return g.readChain(c)
}

// ReadBack handles the result of a read.
func (g *GroupCommit) ReadBack(now time.Time, r ReadResult) []Action {
	c := g.chainOfCall(r.Call)
	if c == nil || c.state != chainReading {
		return nil
	}
	if !r.OK {
		return g.storeFailed(now, c)
	}
	return g.loaded(now, c, r.Object)
}

// Listed handles the result of a list: it loads the chain's segments up to the
// first that is missing.
func (g *GroupCommit) Listed(now time.Time, r ListResult) []Action {
	c := g.chainOfCall(r.Call)
	if c == nil || c.state != chainReading || c.listed {
		return nil
	}
	if !r.OK {
		return g.storeFailed(now, c)
	}
	c.listed = true
	for {
		o := r.Objects[segmentName(g.shard, c.bucket, c.seq)]
		last, err := c.load(o)
		if err != nil {
			return g.storeFailed(now, c)
		}
		if last {
			c.state = chainIdle
			return g.flush(now, c)
		}
	}
}

func (g *GroupCommit) loaded(now time.Time, c *chain, o Object) []Action {
	last, err := c.load(o)
	if err != nil {
		return g.storeFailed(now, c)
	}
	if !last {
		return g.readChain(c)
	}
	c.state = chainIdle
	return g.flush(now, c)
}

func (g *GroupCommit) committed(now time.Time, c *chain, version uint64) []Action {
	object := segmentName(g.shard, c.bucket, c.seq)
	batch := c.commit(version)
	g.waiting -= len(batch)
	var out []Action
	for _, p := range batch {
		if p.state != Intended {
			continue
		}
		if p.answered {
			c.waiting = append(c.waiting, &pendingRecord{intent: p.intent, state: Abandoned, queuedAt: now})
			g.waiting++
			continue
		}
		p.answered = true
		out = append(out, Grant{Intent: p.intent, Object: object, Version: version})
	}
	return append(out, g.advance(now, c)...)
}

// storeFailed refuses every waiting intent, since the store is down. What must
// still be stored is retried, a bounded number of times.
func (g *GroupCommit) storeFailed(now time.Time, c *chain) []Action {
	c.requeue()
	c.state = chainUnread // the records stay in the view; the last segment is read again
	c.retryAt = now.Add(storeRetryDelay)
	var out []Action
	kept := c.waiting[:0]
	for _, p := range c.waiting {
		out = append(out, p.refuse(StoreDown)...)
		p.attempts++
		if p.retryable() {
			kept = append(kept, p)
		}
	}
	g.waiting -= len(c.waiting) - len(kept)
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return out
}

// retryable reports whether p is retried after a failure of the store: an outcome,
// an abandonment, or an intent that may be recorded and must then be abandoned.
func (p *pendingRecord) retryable() bool {
	return p.attempts < maxAttempts && (p.state != Intended || p.maybeRecorded)
}

// refuseLate refuses the intents whose owners no longer wait. One that may be
// recorded stays queued, to be abandoned.
func (c *chain) refuseLate(now time.Time) []Action {
	var out []Action
	for _, p := range c.batch {
		if now.After(p.intent.Deadline) {
			p.maybeRecorded = true
			out = append(out, p.refuse(Late)...)
		}
	}
	for _, p := range c.waiting {
		if now.After(p.intent.Deadline) {
			out = append(out, p.refuse(Late)...)
		}
	}
	return out
}

// fillBatch moves waiting records into the batch: at most one for each key, since
// the second must be resolved by the first.
func (c *chain) fillBatch() {
	batched := make(map[recordKey]bool, len(c.waiting))
	rest := c.waiting[:0]
	for _, p := range c.waiting {
		if batched[keyOf(p.intent)] || len(c.batch) >= maxBatch {
			rest = append(rest, p)
			continue
		}
		batched[keyOf(p.intent)] = true
		c.batch = append(c.batch, p)
		c.encodedBatch = appendRecord(c.encodedBatch, p.record(c.find(p.intent)))
	}
	clear(c.waiting[len(rest):])
	c.waiting = rest
}
