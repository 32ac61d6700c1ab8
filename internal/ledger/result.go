package ledger

// WriteStatus says what became of a conditional write.
type WriteStatus uint8

// The statuses of a write. The zero value proves nothing.
const (
	// Ambiguous: the write may have taken effect, or may yet.
	Ambiguous WriteStatus = iota
	// Written: it took effect.
	Written
	// Conflict: its condition failed.
	Conflict
	// Unavailable: the store answered that it did nothing, or nothing was sent.
	Unavailable
)

// Object is a stored object as a write's conflict or a read shows it.
// Version 0: there is none.
type Object struct {
	Version uint64
	Value   []byte
}

// WriteResult answers a Write.
type WriteResult struct {
	Call    uint64
	Status  WriteStatus
	Version uint64  // with Written
	Current *Object // with Conflict, where the store told it
}

// ReadResult answers a Read.
type ReadResult struct {
	Call   uint64
	OK     bool // false: the store did not answer
	Object Object
}

// ListResult answers a List. The objects are by name.
type ListResult struct {
	Call    uint64
	OK      bool // false: the store did not answer
	Objects map[string]Object
}
