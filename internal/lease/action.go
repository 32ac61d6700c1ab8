package lease

// ActionKind is a call that a lease wants made.
type ActionKind string

// The kinds of action. A Read is answered by Lease.Observed or ReadFailed, a
// List by Set.Listed or ListFailed, a Write by Lease.Wrote, Lost or Unsure.
const (
	Read  ActionKind = "read"
	List  ActionKind = "list"
	Write ActionKind = "write"
)

// Action is one call of the object API that is due.
type Action struct {
	Kind      ActionKind
	Shard     int    // index, where Read or Write
	IfVersion uint64 // where Write; 0: only if the object doesn't exist
	State     State  // where Write
}
