package route

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Workspace is a customer with its credentials and its limit.
type Workspace struct {
	Name fleet.WorkspaceID
	Keys []string
	// Priority takes the place of the route's; nil leaves that.
	Priority *int
	// Rate, in tokens or requests a second, and Burst bound what is let in
	// over all daemons; Rate 0 is no limit.
	Rate, Burst float64
	// CountsTokens says that the limit is in tokens, not requests.
	CountsTokens bool
	// PlainTokens is what a request without a token count costs.
	PlainTokens int
}

// Cost returns what a request of that many tokens takes from the limit; 0
// tokens is a request that tells none.
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
