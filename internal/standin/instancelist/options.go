package instancelist

import "time"

// Options are the settings of the stand-in. The zero value answers without lag.
type Options struct {
	Lag time.Duration // how old the truth is that the list answers with
}
