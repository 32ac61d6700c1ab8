package ledger

// settle decides an entry from the committed record of its key. It reports
// false when the entry has still to be written.
func (e *entry) settle(existing *Record, object string, version uint64) (bool, []Action) {
	if e.state != Intended {
		// A record that is not known here is written: another daemon may have
		// recorded the intent, and this writer's view is older. The write's
		// condition fails then, and the record is found.
		return existing != nil && (existing.Owner != e.intent.Owner || existing.State != Intended), nil
	}
	found := judge(e.intent, existing)
	if found == judgeOwn {
		return e.settleOwn(object, version)
	}
	if e.answered {
		return true, nil
	}
	switch found {
	case judgeReused:
		return true, e.refuse(KeyReused)
	case judgeGone:
		return true, e.refuse(Late)
	case judgeOther:
		e.answered = true
		return true, []Action{Deny{Intent: e.intent, Existing: *existing}}
	}
	return false, nil
}

// deniedBy reports whether a record would deny the entry.
func (e *entry) deniedBy(existing *Record) bool {
	if e.state != Intended || e.answered {
		return false
	}
	found := judge(e.intent, existing)
	return found == judgeOther || found == judgeReused
}

// settleOwn grants the intent, which an ambiguous write has recorded. Where the
// owner was refused meanwhile, the entry turns into the abandonment of its own
// record: else the key would stay unusable although nothing ran.
func (e *entry) settleOwn(object string, version uint64) (bool, []Action) {
	if e.answered {
		e.state = Abandoned
		return false, nil
	}
	e.answered = true
	return true, []Action{Grant{Intent: e.intent, Object: object, Version: version}}
}
