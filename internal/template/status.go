package template

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// View is the membership's state of a daemon.
type View struct {
	Daemon    fleet.DaemonID
	Digest    Digest
	Reachable bool // alive or suspected, not failed
}

// Propagation is the state of a version at one daemon.
type Propagation string

// The states of a version.
const (
	PropagationInForce     Propagation = "in-force"
	PropagationBehind      Propagation = "behind"
	PropagationUnproven    Propagation = "unproven" // its digest is none of those that this daemon recorded; transient
	PropagationUnreachable Propagation = "unreachable"
)

// DaemonStatus is the state of a version at one daemon.
type DaemonStatus struct {
	Daemon fleet.DaemonID
	State  Propagation
	Newest uint64 // highest version of any name there
}

// Status reports which daemons have a version of a name, or a higher one, in
// force. Digests arrive with membership messages, so the result lags by their
// delay.
func (s *Store) Status(name string, version uint64, views []View) []DaemonStatus {
	out := make([]DaemonStatus, len(views))
	for i, v := range views {
		out[i] = DaemonStatus{Daemon: v.Daemon, Newest: v.Digest.Newest, State: s.propagation(name, version, v)}
	}
	return out
}

func (s *Store) propagation(name string, version uint64, v View) Propagation {
	switch {
	case !v.Reachable:
		return PropagationUnreachable
	case v.Digest.Newest < version:
		return PropagationBehind
	case v.Digest == s.digest:
		return propagationIf(s.version(name) >= version)
	case s.version(name) < version:
		return PropagationUnproven
	}
	step := s.history.indexOfDigest(v.Digest)
	if step < 0 {
		return PropagationUnproven
	}
	return propagationIf(step >= s.history.indexOfVersion(name, version))
}

func propagationIf(yes bool) Propagation {
	if yes {
		return PropagationInForce
	}
	return PropagationBehind
}
