package route

import "time"

// Limits restrict the requests of callers. A zero limit isn't set.
type Limits struct {
	BodyBytes   int           // longest request body
	HeadTimeout time.Duration // for a request's head to arrive
	IdleTimeout time.Duration // between two requests on a connection
}
