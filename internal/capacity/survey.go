package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// survey is what the shard holds.
type survey struct {
	all      holding // wanted and not leaving, starting ones included
	ready    holding // serving and not leaving
	serving  []held  // what makes up ready
	starting int     // wanted, not yet serving
}

// held is one instance that serves.
type held struct {
	intent Intent
	rate   float64
}

// survey matches the record with the cloud's list, closes intents that are
// done with, and ends instances that nobody wants.
func (p *Planner) survey(now time.Time, in Input, res *Result) *survey {
	s := &survey{all: holding{}, ready: holding{}}
	owned := make(map[string]*Owned, len(in.Owned))
	for i := range in.Owned {
		owned[in.Owned[i].ClientToken] = &in.Owned[i]
	}
	for _, intent := range in.Record.Intents {
		p.surveyIntent(now, in, intent, owned[token(p.shard, intent.Number)], s, res)
	}
	p.endOrphans(in, res)
	return s
}

func (p *Planner) surveyIntent(now time.Time, in Input, i Intent, o *Owned, s *survey, res *Result) {
	t := token(p.shard, i.Number)
	if p.calls[t].refused {
		p.close(i, res)
		return
	}
	p.learn(&i, t, o, in, res)
	rate := p.rate(i.Class)
	switch {
	case o == nil && i.gone(in.ListedAt, p.cfg.ListLag):
		p.close(i, res)
	case o != nil && !o.LeaveAt.IsZero():
		// It counts for nothing, and stays recorded until the list drops it.
	case o != nil && !o.Ready && now.Sub(time.UnixMilli(i.LaunchedMillis)) > p.cfg.StuckTime:
		// An instance that never serves would be counted for ever, and what
		// it should have carried would be bought by nobody.
		p.end(i, Stuck, res)
	case o != nil && o.Ready:
		s.all[i.DataCentre] += rate
		s.ready[i.DataCentre] += rate
		s.serving = append(s.serving, held{intent: i, rate: rate})
	default:
		s.all[i.DataCentre] += rate
		s.starting++
	}
}

// learn puts the instance of an intent into the record.
func (p *Planner) learn(i *Intent, t string, o *Owned, in Input, res *Result) {
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

// close drops an intent that has no instance any more.
func (p *Planner) close(i Intent, res *Result) {
	res.Record.drop(i.Number)
	res.Changed = true
	delete(p.calls, token(p.shard, i.Number))
}

// end gives an intent's instance back. If the call is lost, the instance is an
// orphan in a later list.
func (p *Planner) end(i Intent, why Reason, res *Result) {
	p.close(i, res)
	res.GiveBacks = append(res.GiveBacks, GiveBack{Instance: i.Instance, Reason: why})
}

// endOrphans gives back instances of this shard's tokens that the record does
// not know. With a record older than the list, an instance that another holder
// recorded and bought in between would look like one.
func (p *Planner) endOrphans(in Input, res *Result) {
	if !in.RecordReadAt.After(in.ListedAt) {
		return
	}
	known := make(map[string]bool, len(in.Record.Intents))
	for _, i := range in.Record.Intents {
		known[token(p.shard, i.Number)] = true
	}
	for _, o := range in.Owned {
		if ours(p.shard, o.ClientToken) && !known[o.ClientToken] && o.LeaveAt.IsZero() {
			res.GiveBacks = append(res.GiveBacks, GiveBack{Instance: o.ID, Reason: Orphan})
		}
	}
}

// without returns a holding less rate in dc.
func (h holding) without(dc fleet.DataCentre, rate float64) holding {
	c := h.clone()
	c[dc] -= rate
	return c
}
