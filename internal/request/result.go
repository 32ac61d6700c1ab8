package request

// Result is the result of Assembly.Add or Assembly.Done.
type Result uint8

// The results.
const (
	// Appended: the piece was the next one.
	Appended Result = iota
	// Duplicate: the piece was added before.
	Duplicate
	// Stale: the piece or end is of an older attempt and was dropped.
	Stale
	// Gap: earlier pieces are missing; the stream is to be read again from Len.
	Gap
	// Diverged: the attempt contradicts the answer so far.
	Diverged
	// Overflow: the answer would exceed MaxAnswerBytes.
	Overflow
	// Complete: the answer is complete.
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
