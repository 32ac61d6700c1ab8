package request

// phase is what a Lifecycle waits for.
type phase uint8

const (
	idle        phase = iota // not started
	dispatching              // the start of an endpoint's answer
	streaming                // pieces
	resuming                 // the start of a resumed stream
	moving                   // the export of the KV cache
	waiting                  // the end of the delay before the next attempt
	ended                    // nothing
)
