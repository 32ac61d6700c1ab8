package ledger

// judgement is what an existing record means for an intent.
type judgement uint8

const (
	judgeFree   judgement = iota // no record, or an abandoned one: may be recorded
	judgeOwn                     // recorded for this owner
	judgeReused                  // recorded with another body
	judgeOther                   // recorded for another owner
	judgeGone                    // abandoned by this owner: a late copy of its wish
)

// judge compares an intent with the record of its key, nil where there is none.
func judge(in Intent, existing *Record) judgement {
	switch {
	case existing == nil:
		return judgeFree
	case existing.Owner == in.Owner && existing.State == Intended:
		return judgeOwn
	case existing.State == Abandoned && existing.Owner == in.Owner:
		return judgeGone
	case existing.State == Abandoned:
		return judgeFree
	case existing.Digest != in.Digest || existing.Workspace != in.Workspace:
		return judgeReused
	default:
		return judgeOther
	}
}

func (in Intent) record(createdMillis int64) Record {
	return Record{
		Key: in.Key.ID, Workspace: in.Workspace, Owner: in.Owner, Digest: in.Digest,
		State: Intended, CreatedMillis: createdMillis,
	}
}
