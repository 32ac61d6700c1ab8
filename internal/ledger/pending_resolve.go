package ledger

// resolve decides p by the committed record of its key, nil where there is none.
// It reports false when p must still be written.
func (p *pendingRecord) resolve(existing *Record, object string, version uint64) (bool, []Action) {
	if p.state != Intended {
		// Without a record in this writer's view, p is written all the same:
		// another daemon may have recorded the intent since. The write's
		// condition then fails, and the record is read.
		return existing != nil && (existing.Owner != p.intent.Owner || existing.State != Intended), nil
	}
	status := keyStatusFor(p.intent, existing)
	if status == statusOwn {
		return p.resolveOwn(object, version)
	}
	if p.answered {
		return true, nil
	}
	switch status {
	case statusReused:
		return true, p.refuse(KeyReused)
	case statusAbandoned:
		return true, p.refuse(Late)
	case statusOther:
		p.answered = true
		return true, []Action{Deny{Intent: p.intent, Existing: *existing}}
	}
	return false, nil
}

// deniedBy reports whether a record would deny p, or refuse it as a reused key.
func (p *pendingRecord) deniedBy(existing *Record) bool {
	if p.state != Intended || p.answered {
		return false
	}
	status := keyStatusFor(p.intent, existing)
	return status == statusOther || status == statusReused
}

// resolveOwn grants the intent, which an ambiguous write has recorded. If its
// owner has been refused since, p becomes the abandonment of its own record:
// otherwise the key would stay unusable although nothing ran.
func (p *pendingRecord) resolveOwn(object string, version uint64) (bool, []Action) {
	if p.answered {
		p.state = Abandoned
		return false, nil
	}
	p.answered = true
	return true, []Action{Grant{Intent: p.intent, Object: object, Version: version}}
}
