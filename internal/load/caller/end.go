package caller

import "encoding"

// End is how a request ended for its caller.
type End uint8

// The ends.
const (
	// Answered: the whole answer was read.
	Answered End = iota
	// Refused: a failure was answered before acceptance.
	Refused
	// Failed: a failure was answered after acceptance.
	Failed
	// Lost: accepted, and neither the whole answer nor a failure was received.
	Lost
	// Unreached: no entry accepted or refused it.
	Unreached
	// Unfinished: the run ended first.
	Unfinished
)

var _ encoding.TextMarshaler = End(0)

// String returns the end's name in results.
func (e End) String() string {
	switch e {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Lost:
		return "lost"
	case Unreached:
		return "unreached"
	default:
		return "unfinished"
	}
}

// MarshalText returns String.
func (e End) MarshalText() ([]byte, error) { return []byte(e.String()), nil }
