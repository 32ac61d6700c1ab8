package routing

// Cause says why no endpoint can be had.
type Cause uint8

// The causes.
const (
	// NotServed: no endpoint of the list serves the model or service.
	NotServed Cause = iota + 1
	// AllLeaving: those that serve it are under notice.
	AllLeaving
	// AllTried: the request excludes those that are left.
	AllTried
)

var causeNames = [...]string{"", "no endpoint serves it", "all endpoints that serve it are leaving", "all endpoints that serve it were tried"}

// String returns the cause in words.
func (c Cause) String() string { return causeNames[c] }

// NoEndpoint is the error of a Pick that found none. Nothing was sent.
type NoEndpoint struct {
	Cause Cause
}

// Error returns the message.
func (e NoEndpoint) Error() string { return "routing: " + e.Cause.String() }
