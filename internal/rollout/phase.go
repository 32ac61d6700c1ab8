package rollout

// Phase is the phase of a roll-out.
type Phase uint8

// The phases. Completed and RolledBack are final.
const (
	// Trial gives the new version a small share of the requests.
	Trial Phase = iota
	// Moving gives the new version all requests, route by route, while those in
	// progress at the old one end.
	Moving
	Completed
	RolledBack
)

var phaseNames = [...]string{"trial", "moving", "completed", "rolled-back"}

func (p Phase) String() string { return phaseNames[p] }

// PhaseOf returns the phase with a number. An unknown number counts as Trial.
func PhaseOf(n uint32) Phase {
	if n >= uint32(len(phaseNames)) {
		return Trial
	}
	return Phase(n)
}

// Final reports whether a phase is the last of a roll-out.
func (p Phase) Final() bool { return p >= Completed }

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phaseNames {
		if name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return Error.New("phase %q is unknown", text)
}
