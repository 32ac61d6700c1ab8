package ledger

import "time"

// Written takes the result of a write.
func (g *GroupCommit) Written(now time.Time, r WriteResult) []Action {
	c := g.find(r.Call)
	if c == nil || c.state != chainWriting {
		return nil
	}
	switch r.Status {
	case Written:
		return g.committed(now, c, r.Version)
	case Unavailable:
		return g.failed(now, c)
	case Ambiguous:
		// The write may take effect even after a read that doesn't show it. That
		// is harmless: the next write has the same condition, so only one of the
		// two takes effect, and the loser reads what the winner wrote.
		for _, e := range c.batch {
			e.recorded = true
		}
	}
	c.requeue()
	if r.Current != nil {
		return g.loaded(now, c, *r.Current)
	}
	return g.read(c)
}

// ReadBack takes the result of a read.
func (g *GroupCommit) ReadBack(now time.Time, r ReadResult) []Action {
	c := g.find(r.Call)
	if c == nil || c.state != chainReading {
		return nil
	}
	if !r.OK {
		return g.failed(now, c)
	}
	return g.loaded(now, c, r.Object)
}

// Listed takes the chain's segments, up to the first that is missing.
func (g *GroupCommit) Listed(now time.Time, r ListResult) []Action {
	c := g.find(r.Call)
	if c == nil || c.state != chainReading || c.listed {
		return nil
	}
	if !r.OK {
		return g.failed(now, c)
	}
	c.listed = true
	for {
		o := r.Objects[segmentName(g.shard, c.bucket, c.seq)]
		last, err := c.load(o)
		if err != nil {
			return g.failed(now, c)
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
		return g.failed(now, c)
	}
	if !last {
		return g.read(c)
	}
	c.state = chainIdle
	return g.flush(now, c)
}

func (g *GroupCommit) committed(now time.Time, c *chain, version uint64) []Action {
	object := segmentName(g.shard, c.bucket, c.seq)
	batch := c.commit(version)
	g.waiting -= len(batch)
	var out []Action
	for _, e := range batch {
		if e.state != Intended {
			continue
		}
		if e.answered {
			c.waiting = append(c.waiting, &entry{intent: e.intent, state: Abandoned, since: now})
			g.waiting++
			continue
		}
		e.answered = true
		out = append(out, Grant{Intent: e.intent, Object: object, Version: version})
	}
	return append(out, g.advance(now, c)...)
}

// failed refuses everything that waits for the store: it is down. Outcomes are
// tried again with the next intents, a bounded number of times.
func (g *GroupCommit) failed(now time.Time, c *chain) []Action {
	c.requeue()
	c.state = chainCold // what is known stays so; the last segment is read again
	c.retryAt = now.Add(storePause)
	var out []Action
	kept := c.waiting[:0]
	for _, e := range c.waiting {
		out = append(out, e.refuse(StoreDown)...)
		e.tries++
		if e.keep() {
			kept = append(kept, e)
		}
	}
	g.waiting -= len(c.waiting) - len(kept)
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return out
}

// keep reports whether an entry is worth another try after the store was down:
// an outcome, and an intent that may be recorded and must then be abandoned.
func (e *entry) keep() bool {
	return e.tries < maxTries && (e.state != Intended || e.recorded)
}

// refuseLate answers the intents whose owners no longer wait. One that may be
// recorded stays, to be abandoned.
func (c *chain) refuseLate(now time.Time) []Action {
	var out []Action
	for _, e := range c.batch {
		if now.After(e.intent.Deadline) {
			e.recorded = true
			out = append(out, e.refuse(Late)...)
		}
	}
	for _, e := range c.waiting {
		if now.After(e.intent.Deadline) {
			out = append(out, e.refuse(Late)...)
		}
	}
	return out
}

// fill moves what waits into the batch: at most one entry a key, since the
// second must see the first.
func (c *chain) fill() {
	taken := make(map[recordKey]bool, len(c.waiting))
	rest := c.waiting[:0]
	for _, e := range c.waiting {
		if taken[keyOf(e.intent)] || len(c.batch) >= maxBatch {
			rest = append(rest, e)
			continue
		}
		taken[keyOf(e.intent)] = true
		c.batch = append(c.batch, e)
		c.batched = appendRecord(c.batched, e.record(c.find(e.intent)))
	}
	clear(c.waiting[len(rest):])
	c.waiting = rest
}
