package lease

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of action, with the methods of Set that take their answers: Observed
// or ReadFailed for a Read, Listed or ListFailed for a List, and Wrote,
// WriteConflict or WriteAmbiguous for a Write.
const (
	Read  ActionKind = "read"
	List  ActionKind = "list"
	Write ActionKind = "write"
)

// Action is one call of the object API that is due.
type Action struct {
	Kind      ActionKind
	Shard     int    // index, for Read and Write
	IfVersion uint64 // for Write; 0: only if the object doesn't exist
	State     State  // for Write
}
