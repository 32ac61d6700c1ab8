package ledger

import (
	"encoding/json"
	"time"
)

// maxAttempts bounds the calls that PerKey makes for one intent, and the failures
// of the store after which GroupCommit retries a record. The store loses an answer
// now and then; three lost in a row mean that it is down.
const maxAttempts = 5

// PerKey records each key in an object of its own by a conditional create. Each
// request costs one write to the store before the dispatch and one after it.
type PerKey struct {
	lastCall uint64
	inFlight map[uint64]*keyCall // by number of the call
}

// keyCall is an intent with a call in flight.
type keyCall struct {
	intent        Intent
	name          string
	value         []byte
	version       uint64 // that the write requires
	attempts      int
	maybeRecorded bool // an ambiguous write may have recorded it
}

// NewPerKey returns a layout without calls in flight.
func NewPerKey() *PerKey { return &PerKey{inFlight: make(map[uint64]*keyCall)} }

// Intend requests the right to dispatch.
func (p *PerKey) Intend(now time.Time, in Intent) []Action {
	c := &keyCall{intent: in, name: keyName(in.Workspace, in.Key)}
	c.value, _ = json.Marshal(in.record(now.UnixMilli())) // plain fields: can't fail
	return p.write(c)
}

// Outcome stores what the granted request's endpoint answered, best effort:
// the result of its write is ignored.
func (p *PerKey) Outcome(now time.Time, g Grant, o Outcome) []Action {
	r := g.Intent.record(now.UnixMilli())
	o = o.bounded()
	r.State, r.Outcome = Stored, &o
	return p.update(g, r)
}

// Abandon frees the key of a granted request that was not dispatched and never
// will be.
func (p *PerKey) Abandon(now time.Time, g Grant) []Action {
	r := g.Intent.record(now.UnixMilli())
	r.State = Abandoned
	return p.update(g, r)
}

func (p *PerKey) update(g Grant, r Record) []Action {
	value, _ := json.Marshal(r)
	p.lastCall++
	return []Action{Write{Call: p.lastCall, Name: g.Object, Version: g.Version, Value: value}}
}

// Written handles the result of a write.
func (p *PerKey) Written(_ time.Time, r WriteResult) []Action {
	c := p.unregister(r.Call)
	if c == nil {
		return nil
	}
	switch r.Status {
	case Written:
		return []Action{Grant{Intent: c.intent, Object: c.name, Version: r.Version}}
	case Unavailable:
		return c.refuse(StoreDown)
	case Ambiguous:
		c.maybeRecorded = true
		return p.read(c)
	}
	if r.Current == nil {
		return p.read(c)
	}
	return p.resolve(c, *r.Current)
}

// ReadBack handles the result of a read.
func (p *PerKey) ReadBack(_ time.Time, r ReadResult) []Action {
	c := p.unregister(r.Call)
	if c == nil {
		return nil
	}
	if !r.OK {
		return p.read(c)
	}
	return p.resolve(c, r.Object)
}

// resolve decides the intent by the key's object.
func (p *PerKey) resolve(c *keyCall, o Object) []Action {
	if o.Version == 0 {
		c.version = 0
		return p.write(c)
	}
	var existing Record
	if json.Unmarshal(o.Value, &existing) != nil {
		return c.refuse(StoreDown)
	}
	switch keyStatusFor(c.intent, &existing) {
	case statusOwn:
		return []Action{Grant{Intent: c.intent, Object: c.name, Version: o.Version}}
	case statusReused:
		return []Action{Refuse{Intent: c.intent, Reason: KeyReused}}
	case statusAbandoned:
		return []Action{Refuse{Intent: c.intent, Reason: Late}}
	case statusOther:
		return []Action{Deny{Intent: c.intent, Existing: existing}}
	}
	c.version = o.Version
	return p.write(c)
}

func (p *PerKey) write(c *keyCall) []Action {
	if c.attempts++; c.attempts > maxAttempts {
		return c.refuse(StoreDown)
	}
	return []Action{Write{Call: p.newCall(c), Name: c.name, Version: c.version, Value: c.value}}
}

func (p *PerKey) read(c *keyCall) []Action {
	if c.attempts++; c.attempts > maxAttempts {
		return c.refuse(StoreDown)
	}
	return []Action{Read{Call: p.newCall(c), Name: c.name}}
}

func (p *PerKey) newCall(c *keyCall) uint64 {
	p.lastCall++
	p.inFlight[p.lastCall] = c
	return p.lastCall
}

func (p *PerKey) unregister(call uint64) *keyCall {
	c := p.inFlight[call]
	delete(p.inFlight, call)
	return c
}

func (c *keyCall) refuse(why RefuseReason) []Action {
	return []Action{Refuse{Intent: c.intent, Reason: why, MaybeRecorded: c.maybeRecorded}}
}
