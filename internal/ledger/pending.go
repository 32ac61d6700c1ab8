package ledger

import "time"

// pendingRecord is an intent, an outcome or an abandonment that waits to be
// recorded.
type pendingRecord struct {
	intent        Intent
	state         State // Intended, Stored or Abandoned
	outcome       *Outcome
	queuedAt      time.Time
	queuedAfter   uint64 // number of the writer's last call before it was queued
	answered      bool   // an intent whose owner has its answer
	maybeRecorded bool   // an ambiguous write may have recorded it
	attempts      int
}

// record returns what is written for p. An outcome or abandonment
// changes the existing record and keeps its digest, so that a repeat is still
// compared with the body that was recorded.
func (p *pendingRecord) record(existing *Record) Record {
	r := p.intent.record(p.queuedAt.UnixMilli())
	if p.state != Intended && existing != nil {
		r = *existing
	}
	r.State, r.Outcome = p.state, p.outcome
	return r
}

func (p *pendingRecord) refuse(why RefuseReason) []Action {
	if p.answered || p.state != Intended {
		return nil
	}
	p.answered = true
	return []Action{Refuse{Intent: p.intent, Reason: why, MaybeRecorded: p.maybeRecorded}}
}
