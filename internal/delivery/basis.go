package delivery

import "slices"

// Basis is what the statement rests on that a request was not run.
type Basis string

// The values of Basis.
const (
	Unsent    Basis = "unsent"    // it was sent nowhere
	Endpoints Basis = "endpoints" // the endpoints that it was sent to state so
	Daemons   Basis = "daemons"   // so do the other daemons
	Nothing   Basis = "nothing"   // it may have been run somewhere
)

// BasisOf returns the basis for a request with these deliveries.
func BasisOf(all []Record) Basis {
	switch {
	case len(all) == 0:
		return Unsent
	case !AllProve(all):
		return Nothing
	case slices.ContainsFunc(all, func(r Record) bool { return r.Evidence == DaemonStates }):
		return Daemons
	default:
		return Endpoints
	}
}
