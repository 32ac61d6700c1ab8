package rollout

// Split is what the decider tells of one roll-out. The zero share sends nothing to the
// new version.
type Split struct {
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
	// Rotation changes from time to time, and with it which endpoints these are.
	Rotation uint64
}

// ShareOf returns the part of a route's requests that goes to the new version.
func (s *Split) ShareOf(route string) float64 {
	if share, ok := s.Routes[route]; ok {
		return share
	}
	return s.Share
}

// AllNew reports whether nothing is sent to the old version any more.
func (s *Split) AllNew() bool { return s.Share == 1 && len(s.Routes) == 0 }

// Target returns the version that the service moves to.
func (s *Split) Target() string { return s.Key.Target }
