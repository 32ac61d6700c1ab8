package request

import "time"

// Entry is a request that a Table knows.
type Entry struct {
	Ref       Ref
	Digest    Digest
	Lifecycle *Lifecycle

	finishedAt time.Time // zero while live
	bytes      int
	newer      *Entry // finished later
}

// Finished reports whether Table.Finish was called for it.
func (e *Entry) Finished() bool { return !e.finishedAt.IsZero() }
