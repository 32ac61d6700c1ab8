package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// inventory is the state of a shard's instances.
type inventory struct {
	all      dcRates         // without a notice, starting ones included
	ready    dcRates         // ready and without a notice
	serving  []readyInstance // the instances counted in ready
	starting int             // instances not ready yet
}

// readyInstance is a serving instance and its throughput, in tokens a second.
type readyInstance struct {
	intent Intent
	rate   float64
}

// takeInventory matches the record with the cloud's list. It removes intents whose
// instance was refused or has ended, and gives back stuck and orphan instances.
func (p *Planner) takeInventory(now time.Time, in Input, res *Result) *inventory {
	s := &inventory{all: dcRates{}, ready: dcRates{}}
	owned := make(map[string]*Owned, len(in.Owned))
	for i := range in.Owned {
		owned[in.Owned[i].ClientToken] = &in.Owned[i]
	}
	for _, intent := range in.Record.Intents {
		p.countIntent(now, in, intent, owned[token(p.shard, intent.Number)], s, res)
	}
	p.giveBackOrphans(in, res)
	return s
}

// countIntent updates s and the record with an intent; o is its instance in the
// cloud's list, nil if it isn't there.
func (p *Planner) countIntent(now time.Time, in Input, i Intent, o *Owned, s *inventory, res *Result) {
	t := token(p.shard, i.Number)
	if p.calls[t].refused {
		p.dropIntent(i, res)
		return
	}
	p.recordInstance(&i, t, o, in, res)
	rate := p.rate(i.Class)
	switch {
	case o == nil && i.ended(in.ListedAt, p.cfg.ListLag):
		p.dropIntent(i, res)
	case o != nil && !o.LeaveAt.IsZero():
		// An instance under notice isn't counted. It stays in the record until it
		// is missing from the list.
	case o != nil && !o.Ready && now.Sub(time.UnixMilli(i.LaunchedMillis)) > p.cfg.StuckTime:
		// An instance that never becomes ready would otherwise be counted as
		// starting for ever and never be replaced.
		p.giveBackInstance(i, Stuck, res)
	case o != nil && o.Ready:
		s.all[i.DataCentre] += rate
		s.ready[i.DataCentre] += rate
		s.serving = append(s.serving, readyInstance{intent: i, rate: rate})
	default:
		s.all[i.DataCentre] += rate
		s.starting++
	}
}

// recordInstance adds an intent's instance to the record once its id is known, from
// the answer to the launch or from the list.
func (p *Planner) recordInstance(i *Intent, t string, o *Owned, in Input, res *Result) {
	if i.Instance != "" {
		return
	}
	switch c := p.calls[t]; {
	case c.instance != "":
		i.Instance, i.LaunchedMillis = c.instance, c.at.UnixMilli()
	case o != nil:
		i.Instance, i.LaunchedMillis = o.ID, in.ListedAt.UnixMilli()
	default:
		return
	}
	res.Record.set(*i)
	res.Changed = true
}

// dropIntent removes an intent from the record.
func (p *Planner) dropIntent(i Intent, res *Result) {
	res.Record.drop(i.Number)
	res.Changed = true
	delete(p.calls, token(p.shard, i.Number))
}

// giveBackInstance removes an intent and gives its instance back. If that call is
// lost, the instance is an orphan in a later list.
func (p *Planner) giveBackInstance(i Intent, why Reason, res *Result) {
	p.dropIntent(i, res)
	res.GiveBacks = append(res.GiveBacks, GiveBack{Instance: i.Instance, Reason: why})
}

// giveBackOrphans gives back instances with a client token of this shard that aren't in
// the record. It does nothing if the record is older than the list: an instance
// that another holder recorded and bought in between would look like an orphan.
func (p *Planner) giveBackOrphans(in Input, res *Result) {
	if !in.RecordReadAt.After(in.ListedAt) {
		return
	}
	known := make(map[string]bool, len(in.Record.Intents))
	for _, i := range in.Record.Intents {
		known[token(p.shard, i.Number)] = true
	}
	for _, o := range in.Owned {
		if isToken(p.shard, o.ClientToken) && !known[o.ClientToken] && o.LeaveAt.IsZero() {
			res.GiveBacks = append(res.GiveBacks, GiveBack{Instance: o.ID, Reason: Orphan})
		}
	}
}

// without returns a copy of h with rate less in dc.
func (h dcRates) without(dc fleet.DataCentre, rate float64) dcRates {
	c := h.clone()
	c[dc] -= rate
	return c
}
