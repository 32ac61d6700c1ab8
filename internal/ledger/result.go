package ledger

// WriteStatus is the outcome of a conditional write.
type WriteStatus uint8

// The statuses of a write.
const (
	// Ambiguous: the write may have taken effect, or may still.
	Ambiguous WriteStatus = iota
	// Written: it took effect.
	Written
	// Conflict: its condition failed.
	Conflict
	// Unavailable: the store reported no effect, or nothing was sent.
	Unavailable
)

// Object is a stored object as a write's conflict or a read shows it. Version 0
// means that there is none.
type Object struct {
	Version uint64
	Value   []byte
}

// WriteResult is the result of a Write.
type WriteResult struct {
	Call    uint64
	Status  WriteStatus
	Version uint64  // if Written
	Current *Object // if Conflict, where the store returned it
}

// ReadResult is the result of a Read.
type ReadResult struct {
	Call   uint64
	OK     bool // false: the store did not answer
	Object Object
}

// ListResult is the result of a List.
type ListResult struct {
	Call    uint64
	OK      bool              // false: the store did not answer
	Objects map[string]Object // by name
}
