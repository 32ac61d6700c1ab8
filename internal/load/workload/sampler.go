package workload

import (
	"math/rand/v2"
	"time"
)

// Parameters of rand.Zipf for the popularity of subjects, which follows a power
// law: most questions are about a few machines.
const (
	subjectExponent = 1.2
	subjectOffset   = 2
)

// openConversation is a conversation that later requests may continue.
type openConversation struct {
	id      int
	kind    int
	subject int
	turns   int           // so far
	dueAt   time.Duration // earliest time of the next turn
}

// sampler draws the requests of one workspace at its arrival times.
type sampler struct {
	plan       *Plan
	src        *rand.Rand
	totalShare float64      // sum of the kinds' shares
	zipf       []*rand.Zipf // of subjects, by kind; nil for a kind without subjects
	open       []openConversation
}

func newSampler(p *Plan, src *rand.Rand) *sampler {
	d := &sampler{plan: p, src: src, zipf: make([]*rand.Zipf, len(p.Mix.Kinds))}
	for i, k := range p.Mix.Kinds {
		d.totalShare += k.Share
		if k.Subjects > 0 {
			d.zipf[i] = rand.NewZipf(src, subjectExponent, subjectOffset, uint64(k.Subjects-1))
		}
	}
	return d
}

// sample draws the request at one time. conversations is the number of
// conversations in the schedule so far, which sample updates.
func (d *sampler) sample(at time.Duration, conversations *int) Arrival {
	kind := d.drawKind()
	k := &d.plan.Mix.Kinds[kind]
	a := Arrival{At: at, Kind: kind, Subject: -1, Conversation: -1, Seed: d.seed(k)}
	if k.Turns > 1 && d.src.Float64() < k.Reuse && d.resume(&a) {
		return a
	}
	if d.zipf[kind] != nil {
		a.Subject = int(d.zipf[kind].Uint64())
	}
	if k.Turns > 1 {
		a.Conversation = *conversations
		*conversations++
		d.keepOpen(k, openConversation{id: a.Conversation, kind: kind, subject: a.Subject, turns: 1}, at)
	}
	return a
}

func (d *sampler) drawKind() int {
	x := d.src.Float64() * d.totalShare
	for i, k := range d.plan.Mix.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(d.plan.Mix.Kinds) - 1
}

// seed draws the seed of a question: one from the kind's pool or, for a kind
// without a pool, a new one.
func (d *sampler) seed(k *Kind) uint64 {
	if k.Questions > 0 {
		return uint64(d.src.IntN(k.Questions))
	}
	return d.src.Uint64()
}

// resume makes the arrival the next turn of the conversation of its kind that
// became due first. It returns false if none is due.
func (d *sampler) resume(a *Arrival) bool {
	for i, c := range d.open {
		if c.kind != a.Kind || c.dueAt > a.At {
			continue
		}
		d.open = append(d.open[:i], d.open[i+1:]...)
		a.Conversation, a.Subject, a.Turn = c.id, c.subject, c.turns
		c.turns++
		d.keepOpen(&d.plan.Mix.Kinds[a.Kind], c, a.At)
		return true
	}
	return false
}

// keepOpen allows a conversation to be continued unless it has all its turns.
func (d *sampler) keepOpen(k *Kind, c openConversation, at time.Duration) {
	if c.turns >= k.Turns {
		return
	}
	pause := float64(k.Think) * d.plan.LatencyScale * (1 + d.src.Float64())
	c.dueAt = at + time.Duration(pause)
	d.open = append(d.open, c)
}
