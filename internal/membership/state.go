package membership

// State is the state of one run of a daemon. Within one incarnation a higher
// State overrides a lower one.
type State uint8

// The states, in the order of precedence within one incarnation.
const (
	// Alive takes new work.
	Alive State = iota
	// Leaving announced that it will go: it answers probes, but takes no new work.
	Leaving
	// Suspect did not answer probes and has not refuted the suspicion yet.
	Suspect
	// SuspectLeaving is a Leaving daemon that did not answer probes.
	SuspectLeaving
	// Dead did not refute the suspicion in time, or its data centre is lost.
	Dead
	// Left announced that it has gone. Only another run can follow.
	Left
)

// String returns the name that operators see.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case SuspectLeaving:
		return "suspect-leaving"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Terminal reports whether the incarnation is over: Dead or Left.
func (s State) Terminal() bool { return s >= Dead }

// IsLeaving reports whether the daemon announced that it will go and is not gone.
func (s State) IsLeaving() bool { return s == Leaving || s == SuspectLeaving }

// IsSuspect reports whether probes went unanswered and the suspicion is not
// refuted.
func (s State) IsSuspect() bool { return s == Suspect || s == SuspectLeaving }

// suspected returns the state with suspicion added; terminal states stay.
func (s State) suspected() State {
	switch s {
	case Alive:
		return Suspect
	case Leaving:
		return SuspectLeaving
	default:
		return s
	}
}

// cleared returns the state without suspicion; terminal states stay.
func (s State) cleared() State {
	switch s {
	case Suspect:
		return Alive
	case SuspectLeaving:
		return Leaving
	default:
		return s
	}
}
