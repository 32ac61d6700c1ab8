package rollout

// Word is what the decider tells of one roll-out. The zero share sends nothing to the
// new version.
type Word struct {
	Service string
	Key     Key
	Phase   Phase
	// Share is the part of the service's requests that goes to the new version, but
	// for routes that have a share of their own.
	Share  float64
	Routes map[string]float64
	// Spread is how many endpoints of the new version share these: few, so that each
	// has the load of one of the old version.
	Spread int
	// Turn changes from time to time, and with it which endpoints these are.
	Turn uint64
}

// ShareOf returns the part of a route's requests that goes to the new version.
func (w *Word) ShareOf(route string) float64 {
	if share, ok := w.Routes[route]; ok {
		return share
	}
	return w.Share
}

// All reports whether nothing is sent to the old version any more.
func (w *Word) All() bool { return w.Share == 1 && len(w.Routes) == 0 }

// Target returns the version that the service moves to.
func (w *Word) Target() string { return w.Key.Target }
