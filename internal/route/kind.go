package route

// Kind says what may be done with a request of a route after an attempt that
// may have run.
type Kind uint8

// The kinds. The zero value is the cautious one.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run again
	Streaming                 // an event stream; see Route.Resumable
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}
