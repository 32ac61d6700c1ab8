package ledger

import "time"

// entry is something that waits to be recorded: an intent, an outcome or an
// abandonment.
type entry struct {
	intent   Intent
	state    State // Intended, Stored or Abandoned
	outcome  *Outcome
	since    time.Time
	after    uint64 // number of the newest call when it came
	answered bool   // an intent whose owner has been refused
	recorded bool   // an ambiguous write may have recorded it
	tries    int
}

// record returns what is written for the entry. An outcome or abandonment
// changes the existing record and keeps its digest, so that a repeat is still
// compared with the body that was recorded.
func (e *entry) record(existing *Record) Record {
	r := e.intent.record(e.since.UnixMilli())
	if e.state != Intended && existing != nil {
		r = *existing
	}
	r.State, r.Outcome = e.state, e.outcome
	return r
}

func (e *entry) refuse(why RefuseReason) []Action {
	if e.answered || e.state != Intended {
		return nil
	}
	e.answered = true
	return []Action{Refuse{Intent: e.intent, Reason: why, MaybeRecorded: e.recorded}}
}
