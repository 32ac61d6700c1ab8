package ledger

// Action is a call that a layout needs, or an answer to an intent's owner: one of
// the types below.
type Action interface{ action() }

// Write updates an object of Kind if it still has Version, or creates it if
// Version is 0. Its result goes to Written.
type Write struct {
	Call    uint64
	Name    string
	Version uint64
	Value   []byte // JSON
}

// Read gets an object of Kind. Its result goes to ReadBack.
type Read struct {
	Call uint64
	Name string
}

// List gets the objects of Kind whose names start with Prefix. Its result goes to
// Listed. It only saves reads: an outdated or incomplete list is safe, since the
// condition of the write that follows then fails.
type List struct {
	Call   uint64
	Prefix string
}

// Grant allows the intent's owner its single dispatch. An owner that receives it
// after it stopped waiting must not dispatch.
type Grant struct {
	Intent  Intent
	Object  string // where the record is
	Version uint64 // of the object
}

// Deny forbids the dispatch: the key is another owner's. The caller is answered
// with Existing.Outcome or, where there is none, that the request may have run.
type Deny struct {
	Intent   Intent
	Existing Record
}

// Refuse forbids the dispatch. For this owner the request has not run.
type Refuse struct {
	Intent Intent
	Reason RefuseReason
	// MaybeRecorded is set if the intent may be in the ledger all the same. The
	// owner should then call Abandon, or the key may stay unusable.
	MaybeRecorded bool
}

func (Write) action()  {}
func (Read) action()   {}
func (List) action()   {}
func (Grant) action()  {}
func (Deny) action()   {}
func (Refuse) action() {}
