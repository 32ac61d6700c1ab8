package load

// Target is the deployment under load. Addresses are host:port.
type Target struct {
	// Entries are those from which callers first request the list of entries. At
	// least one.
	Entries []string
	// Platform is the address of the instance list, from which engines, services
	// and prices are read. Empty: engines and services are those below alone.
	Platform string
	// Engines are those whose counters are read in addition to those of the list.
	Engines []string
	// Services are those from which the executions of each idempotency key are
	// read, in addition to those of the list.
	Services []string
}
