package ledger

// RefuseReason says why nothing was granted.
type RefuseReason uint8

// The reasons.
const (
	// StoreDown: the object API could not be written.
	StoreDown RefuseReason = iota
	// KeyReused: the key was used with another body.
	KeyReused
	// Late: the intent's deadline passed first.
	Late
	// Overloaded: too many intents wait.
	Overloaded
)

// String returns the reason as callers see it.
func (r RefuseReason) String() string {
	names := [...]string{"ledger unavailable", "key used with another body", "ledger too slow", "too many orders wait"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
