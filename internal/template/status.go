package template

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// View is the membership's state of a daemon.
type View struct {
	Daemon    fleet.DaemonID
	Digest    Digest
	Reachable bool // alive or suspected, not failed
}

// Spreading is the state of a version at one daemon.
type Spreading string

// The states of a version.
const (
	SpreadInForce  Spreading = "in-force"
	SpreadBehind   Spreading = "behind"
	SpreadUnproven Spreading = "unproven" // its digest is none of those that this daemon recorded; transient
	SpreadLost     Spreading = "unreachable"
)

// DaemonStatus is the state of a version at one daemon.
type DaemonStatus struct {
	Daemon fleet.DaemonID
	State  Spreading
	Newest uint64 // highest version of any name there
}

// Status reports which daemons have a version of a name, or a higher one, in
// force. Digests arrive with membership messages, so the result lags by their
// delay.
func (s *Store) Status(name string, version uint64, views []View) []DaemonStatus {
	out := make([]DaemonStatus, len(views))
	for i, v := range views {
		out[i] = DaemonStatus{Daemon: v.Daemon, Newest: v.Digest.Newest, State: s.spreading(name, version, v)}
	}
	return out
}

func (s *Store) spreading(name string, version uint64, v View) Spreading {
	switch {
	case !v.Reachable:
		return SpreadLost
	case v.Digest.Newest < version:
		return SpreadBehind
	case v.Digest == s.digest:
		return inForceIf(s.version(name) >= version)
	case s.version(name) < version:
		return SpreadUnproven
	}
	step := s.past.find(v.Digest)
	if step < 0 {
		return SpreadUnproven
	}
	return inForceIf(step >= s.past.reached(name, version))
}

func inForceIf(yes bool) Spreading {
	if yes {
		return SpreadInForce
	}
	return SpreadBehind
}
