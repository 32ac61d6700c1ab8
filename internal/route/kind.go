package route

// Kind says whether a request of a route may be retried after an attempt that may
// have run.
type Kind uint8

// The kinds. The zero value allows the least.
const (
	NonIdempotent Kind = iota // must run at most once
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
