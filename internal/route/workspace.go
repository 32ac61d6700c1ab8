package route

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Workspace is a customer with its credentials and its limit.
type Workspace struct {
	Name fleet.WorkspaceID
	Keys []string
	// Priority overrides the route's unless it is nil.
	Priority *int
	// Rate, in tokens or requests a second, and Burst limit the requests that all
	// daemons together admit; a Rate of 0 is no limit.
	Rate, Burst float64
	// CountsTokens is true if the limit is in tokens, not requests.
	CountsTokens bool
	// PlainTokens is the cost, in tokens, of a request without a token count, such
	// as one to a service without models.
	PlainTokens int
}

// Cost returns the cost of a request in the limit's unit. tokens is 0 if the
// request has no token count.
func (w *Workspace) Cost(tokens int) float64 {
	switch {
	case !w.CountsTokens:
		return 1
	case tokens == 0:
		return float64(w.PlainTokens)
	default:
		return float64(tokens)
	}
}
