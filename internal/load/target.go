package load

// Target is the deployment that is loaded. Addresses are host:port.
type Target struct {
	// Entries are asked first which entries to use. At least one.
	Entries []string
	// Platform answers the instance list, from which engines, services and
	// prices are read. Empty: they are taken from the fields below alone.
	Platform string
	// Engines are asked for their counters, beside those of the list.
	Engines []string
	// Services are asked how often each idempotency key ran, beside those of
	// the list.
	Services []string
}
