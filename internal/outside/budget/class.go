package budget

// Class is the urgency of a call. A greater class may use reserves that a
// lesser one must leave. The zero value is the least urgent.
type Class uint8

// The classes, least urgent first.
const (
	Status        Class = iota // status of workspaces and daemons, listings for people
	Configuration              // closing templates, watches, the instance list, purchases
	Intent                     // a caller's request waits for it
	Lease                      // a lease is lost without it
	classes
)

// String returns the class's name in metrics and logs.
func (c Class) String() string {
	switch c {
	case Lease:
		return "lease"
	case Intent:
		return "intent"
	case Configuration:
		return "configuration"
	default:
		return "status"
	}
}
