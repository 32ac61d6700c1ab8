package ledger

// RefuseReason is why an intent was refused.
type RefuseReason uint8

// The reasons.
const (
	// StoreDown: the object API could not be read or written.
	StoreDown RefuseReason = iota
	// KeyReused: the key was used with another body.
	KeyReused
	// Late: the intent's deadline passed first, or its owner abandoned it.
	Late
	// Overloaded: too many records wait.
	Overloaded
)

// String returns the reason's text in answers to callers.
func (r RefuseReason) String() string {
	names := [...]string{"ledger unavailable", "key used with another body", "ledger too slow", "too many orders wait"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
