package routing

// Why says why no endpoint can be had.
type Why uint8

// The causes.
const (
	// NotServed: no endpoint of the list serves the model or service.
	NotServed Why = iota + 1
	// AllLeaving: those that serve it are under notice.
	AllLeaving
	// AllTried: the request excludes those that are left.
	AllTried
)

var whyNames = [...]string{"", "no endpoint serves it", "all endpoints that serve it are leaving", "all endpoints that serve it were tried"}

// String returns the cause in words.
func (w Why) String() string { return whyNames[w] }

// NoEndpoint is the error of a Pick that found none. Nothing was sent.
type NoEndpoint struct {
	Why Why
}

// Error returns the message.
func (e NoEndpoint) Error() string { return "routing: " + e.Why.String() }
