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
	s := &sampler{plan: p, src: src, zipf: make([]*rand.Zipf, len(p.Mix.Kinds))}
	for i, k := range p.Mix.Kinds {
		s.totalShare += k.Share
		if k.Subjects > 0 {
			s.zipf[i] = rand.NewZipf(src, subjectExponent, subjectOffset, uint64(k.Subjects-1))
		}
	}
	return s
}

// sample draws the request at one time. conversations is the number of
// conversations in the schedule so far, which sample updates.
func (s *sampler) sample(at time.Duration, conversations *int) Arrival {
	kind := s.drawKind()
	k := &s.plan.Mix.Kinds[kind]
	a := Arrival{At: at, Kind: kind, Subject: -1, Conversation: -1, Seed: s.seed(k)}
	if k.Turns > 1 && s.src.Float64() < k.Reuse && s.resume(&a) {
		return a
	}
	if s.zipf[kind] != nil {
		a.Subject = int(s.zipf[kind].Uint64())
	}
	if k.Turns > 1 {
		a.Conversation = *conversations
		*conversations++
		s.keepOpen(k, openConversation{id: a.Conversation, kind: kind, subject: a.Subject, turns: 1}, at)
	}
	return a
}

func (s *sampler) drawKind() int {
	x := s.src.Float64() * s.totalShare
	for i, k := range s.plan.Mix.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(s.plan.Mix.Kinds) - 1
}

// seed draws the seed of a question: one from the kind's pool or, for a kind
// without a pool, a new one.
func (s *sampler) seed(k *Kind) uint64 {
	if k.Questions > 0 {
		return uint64(s.src.IntN(k.Questions))
	}
	return s.src.Uint64()
}

// resume makes the arrival the next turn of the conversation of its kind that was
// kept open first among those that are due. It returns false if none is due.
func (s *sampler) resume(a *Arrival) bool {
	for i, c := range s.open {
		if c.kind != a.Kind || c.dueAt > a.At {
			continue
		}
		s.open = append(s.open[:i], s.open[i+1:]...)
		a.Conversation, a.Subject, a.Turn = c.id, c.subject, c.turns
		c.turns++
		s.keepOpen(&s.plan.Mix.Kinds[a.Kind], c, a.At)
		return true
	}
	return false
}

// keepOpen allows a conversation to be continued unless it has all its turns.
func (s *sampler) keepOpen(k *Kind, c openConversation, at time.Duration) {
	if c.turns >= k.Turns {
		return
	}
	pause := float64(k.Think) * s.plan.LatencyScale * (1 + s.src.Float64())
	c.dueAt = at + time.Duration(pause)
	s.open = append(s.open, c)
}
