package daemon

import (
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// pastChangesKept bounds the remembered changes: more than operators make in
// an outage of the store.
const pastChangesKept = 1024

// pastChanges remembers the changes that this daemon may have written. Safe for
// concurrent use.
//
// The answer to an accepted change may be lost, or the store may become unavailable before it says what
// became of one, and the operator repeats the change meanwhile. Nothing is written then, but
// the first request may have taken effect, so the answer must not be "refused". A daemon that can't read
// must not state less than it knew before.
type pastChanges struct {
	mu     sync.Mutex
	known  map[string]operator.ChangeResult // by operation
	oldest []string                         // in the order in which they came
}

func newPastChanges() *pastChanges {
	return &pastChanges{known: make(map[string]operator.ChangeResult)}
}

// keep notes what became of a change and returns it.
func (p *pastChanges) keep(operation string, r operator.ChangeResult) operator.ChangeResult {
	if r.Outcome != template.Accepted && r.Outcome != template.Unknown {
		return r // nothing was written
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.known[operation]; !known {
		p.oldest = append(p.oldest, operation)
	}
	p.known[operation] = r
	if len(p.oldest) > pastChangesKept {
		delete(p.known, p.oldest[0])
		p.oldest = p.oldest[1:]
	}
	return r
}

// unread answers a change whose object can't be read now.
func (p *pastChanges) unread(operation string, err error) operator.ChangeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, known := p.known[operation]; known {
		return r
	}
	return refusedChange(err)
}
