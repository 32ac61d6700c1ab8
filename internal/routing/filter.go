package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// filter holds what a request rules out. What serves it, is not leaving and
// not ejected is the set's business.
type filter struct {
	request *Request
	avoid   fleet.DataCentre
}

func (f filter) ok(e *endpoint) bool {
	if f.avoid != "" && e.info.DataCentre == f.avoid {
		return false
	}
	return !f.request.excludes(e.info.ID)
}
