package request

// phase is what a Life waits for.
type phase uint8

const (
	idle        phase = iota // not started
	dispatching              // an endpoint to open the answer
	streaming                // pieces
	resuming                 // the engine to open its stream again
	moving                   // an export of KV cache
	waiting                  // the pause before the next try
	ended                    // nothing
)
