package rollout

// Split is the decider's current division of a service's requests between the
// versions. With a share of zero, the new version gets none.
type Split struct {
	Service string
	Key     Key
	Phase   Phase
	// Share is the part of the service's requests that goes to the new version, except
	// for the routes in Routes, which have their own shares.
	Share  float64
	Routes map[string]float64
	// Spread is how many endpoints of the new version get these requests: few, so that
	// each has the load of one of the old version.
	Spread int
	// Rotation changes with time and selects these endpoints.
	Rotation uint64
}

// ShareOf returns the part of a route's requests that goes to the new version.
func (s *Split) ShareOf(route string) float64 {
	if share, ok := s.Routes[route]; ok {
		return share
	}
	return s.Share
}

// AllNew reports whether all requests go to the new version.
func (s *Split) AllNew() bool { return s.Share == 1 && len(s.Routes) == 0 }

// Target returns the version that the service moves to.
func (s *Split) Target() string { return s.Key.Target }
