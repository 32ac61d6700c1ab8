package request

// Result says what became of a piece or of an attempt's end.
type Result uint8

// The results.
const (
	// Appended: the piece was the next one.
	Appended Result = iota
	// Duplicate: the piece was there already.
	Duplicate
	// Stale: the piece is of an older attempt and was dropped.
	Stale
	// Gap: pieces before this one are missing; fetch again from Len.
	Gap
	// Diverged: the attempt contradicts the pieces that are there.
	Diverged
	// Overflow: the answer would exceed MaxAnswerBytes.
	Overflow
	// Complete: the answer is whole.
	Complete
)

// String returns the result's name for logs.
func (r Result) String() string {
	names := [...]string{"appended", "duplicate", "stale", "gap", "diverged", "overflow", "complete"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
