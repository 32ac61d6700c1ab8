package request

// BeginResult is the result of Table.Begin.
type BeginResult uint8

// The results of Table.Begin.
const (
	// Created: the request is new.
	Created BeginResult = iota
	// Attached: the same request is in the table, running or finished.
	Attached
	// Conflict: the key is in use for another body.
	Conflict
	// Full: the table is at its limit of live requests.
	Full
)
