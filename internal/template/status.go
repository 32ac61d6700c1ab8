package template

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// View is what membership knows of a daemon.
type View struct {
	Daemon    fleet.DaemonID
	Digest    Digest
	Reachable bool // alive or suspected, not gone
}

// Spreading says how far a version has come at one daemon.
type Spreading string

// The answers.
const (
	SpreadInForce  Spreading = "in-force"
	SpreadBehind   Spreading = "behind"
	SpreadUnproven Spreading = "unproven" // its digest is none that this daemon ever had; it passes
	SpreadLost     Spreading = "unreachable"
)

// DaemonStatus says how far a version has come at one daemon.
type DaemonStatus struct {
	Daemon fleet.DaemonID
	State  Spreading
	Newest uint64 // highest version of any name there
}

// Status says which daemons have a version of a name, or a higher one, in
// force. Digests travel with the membership, so the answer lags by as much.
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
