package routing

// Cause is why no endpoint was found.
type Cause uint8

// Causes of NoEndpoint.
const (
	// NotServed: no listed endpoint serves the model or service.
	NotServed Cause = iota + 1
	// AllLeaving: all endpoints that serve it are under notice.
	AllLeaving
	// AllTried: the request excludes all endpoints that could serve it.
	AllTried
)

var causeNames = [...]string{"", "no endpoint serves it", "all endpoints that serve it are leaving", "all endpoints that serve it were tried"}

// String returns the cause as part of an error message.
func (c Cause) String() string { return causeNames[c] }

// NoEndpoint is the error of a Pick that found no endpoint. Nothing was sent.
type NoEndpoint struct {
	Cause Cause
}

// Error implements error.
func (e NoEndpoint) Error() string { return "routing: " + e.Cause.String() }
