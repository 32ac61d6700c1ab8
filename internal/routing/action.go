package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// ActionKind is what the owner of a Router has to do or to record after a health
// event.
type ActionKind uint8

// Kinds of action.
const (
	NoAction ActionKind = iota
	Probe               // open a new connection to Address and call ProbeOK or DialFailed
	Eject               // the endpoint receives no requests until a probe succeeds
	Restore             // the endpoint receives requests again
)

// Action is the result of a health event.
type Action struct {
	Kind     ActionKind
	Endpoint fleet.EndpointID
	Address  string
}
