package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// filter excludes endpoints for one request. Members of a replicaSet already
// serve the request's model or service and are neither leaving nor ejected.
type filter struct {
	request *Request
	avoid   fleet.DataCentre // empty means none
}

func (f filter) ok(e *endpoint) bool {
	if f.avoid != "" && e.info.DataCentre == f.avoid {
		return false
	}
	return !f.request.excludes(e.info.ID)
}
