package instancelist

import "time"

// Options sets the stand-in up. The zero value answers without lag.
type Options struct {
	Lag time.Duration // how old the truth is that the list answers with
}
