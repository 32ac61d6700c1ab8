package ledger

// keyStatus is what the record of a key means for an intent.
type keyStatus uint8

const (
	statusFree      keyStatus = iota // no record, or one abandoned by another owner: the intent may be recorded
	statusOwn                        // recorded for this owner
	statusReused                     // recorded with another body
	statusOther                      // recorded for another owner
	statusAbandoned                  // abandoned by this owner: the intent is a late copy
)

// keyStatusFor compares an intent with the record of its key, nil where there is
// none.
func keyStatusFor(in Intent, existing *Record) keyStatus {
	switch {
	case existing == nil:
		return statusFree
	case existing.Owner == in.Owner && existing.State == Intended:
		return statusOwn
	case existing.State == Abandoned && existing.Owner == in.Owner:
		return statusAbandoned
	case existing.State == Abandoned:
		return statusFree
	case existing.Digest != in.Digest || existing.Workspace != in.Workspace:
		return statusReused
	default:
		return statusOther
	}
}

func (in Intent) record(createdMillis int64) Record {
	return Record{
		Key: in.Key.ID, Workspace: in.Workspace, Owner: in.Owner, Digest: in.Digest,
		State: Intended, CreatedMillis: createdMillis,
	}
}
