package request

// BeginResult says how a request met the table.
type BeginResult uint8

// The ways to meet.
const (
	// Created: the request is new.
	Created BeginResult = iota
	// Attached: the same request is there, running or finished.
	Attached
	// Conflict: the key is in use for another body.
	Conflict
	// Full: the table holds as many live requests as it may.
	Full
)
