package ledger

// Action is what a layout wants done: one of the types below.
type Action interface{ action() }

// Write updates an object of Kind if it still has Version, or creates it if
// Version is 0. Answer with Written.
type Write struct {
	Call    uint64
	Name    string
	Version uint64
	Value   []byte // JSON
}

// Read gets an object of Kind. Answer with ReadBack.
type Read struct {
	Call uint64
	Name string
}

// List gets the objects of Kind whose names start with Prefix. Answer with
// Listed. It only saves reads: a list that is old or cut short is safe, since
// the write that follows then loses its condition.
type List struct {
	Call   uint64
	Prefix string
}

// Grant allows the intent's owner its one dispatch. An owner that no longer
// waits must not dispatch.
type Grant struct {
	Intent  Intent
	Object  string // where the record is
	Version uint64 // of the object
}

// Deny forbids the dispatch: the key is another's. The caller is answered from
// Existing.Outcome, or that the request may have run.
type Deny struct {
	Intent   Intent
	Existing Record
}

// Refuse forbids the dispatch with the proof that this owner's was not run.
type Refuse struct {
	Intent Intent
	Reason RefuseReason
	// MaybeRecorded says that the intent may be in the ledger all the same. The
	// owner should Abandon it, or the key stays unusable.
	MaybeRecorded bool
}

func (Write) action()  {}
func (Read) action()   {}
func (List) action()   {}
func (Grant) action()  {}
func (Deny) action()   {}
func (Refuse) action() {}
