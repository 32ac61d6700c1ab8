package endpoint

import "net/http"

// generation holds the pooled connections to one endpoint that were opened
// since the last silence. Retired, it closes its idle connections; those in
// use are closed when their answer ends.
type generation struct {
	transport *http.Transport
}
