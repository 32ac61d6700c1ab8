package request

import "time"

// Entry is a request in a Table.
type Entry struct {
	Ref       Ref
	Digest    Digest
	Lifecycle *Lifecycle

	finishedAt time.Time // zero while live
	bytes      int
	newer      *Entry // the entry that finished next
}

// Finished reports whether Table.Finish was called for the request.
func (e *Entry) Finished() bool { return !e.finishedAt.IsZero() }
