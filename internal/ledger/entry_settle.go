package ledger

// resolve decides an entry from the committed record of its key. It reports
// false when the entry has still to be written.
func (p *pendingRecord) resolve(existing *Record, object string, version uint64) (bool, []Action) {
	if p.state != Intended {
		// A record that is not known here is written: another daemon may have
		// recorded the intent, and this writer's view is older. The write's
		// condition fails then, and the record is found.
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

// deniedBy reports whether a record would deny the entry.
func (p *pendingRecord) deniedBy(existing *Record) bool {
	if p.state != Intended || p.answered {
		return false
	}
	status := keyStatusFor(p.intent, existing)
	return status == statusOther || status == statusReused
}

// resolveOwn grants the intent, which an ambiguous write has recorded. Where the
// owner was refused meanwhile, the entry turns into the abandonment of its own
// record: else the key would stay unusable although nothing ran.
func (p *pendingRecord) resolveOwn(object string, version uint64) (bool, []Action) {
	if p.answered {
		p.state = Abandoned
		return false, nil
	}
	p.answered = true
	return true, []Action{Grant{Intent: p.intent, Object: object, Version: version}}
}
