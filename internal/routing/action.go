package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// ActionKind is what a health event asks the owner to do or to note.
type ActionKind uint8

// The kinds of action.
const (
	NoAction ActionKind = iota
	Probe               // open a new connection to Address and report ProbeOK or DialFailed
	Eject               // the endpoint receives nothing until a probe works
	Restore             // the endpoint is back
)

// Action is a router's answer to a health event.
type Action struct {
	Kind     ActionKind
	Endpoint fleet.EndpointID
	Address  string
}
