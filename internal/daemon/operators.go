package daemon

import "net/http"

// operatorHandler returns the operators' API.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.metrics.serve)
	return mux
}
