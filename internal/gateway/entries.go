package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// entriesResponse is the body of GET /v1/entries.
type entriesResponse struct {
	Entries       []Entry `json:"entries"`
	MaxAgeSeconds int     `json:"maxAgeSeconds"`
}

// entries returns the entry instances that the caller should use. The token is
// optional; with a valid one, the list is the workspace's own subset.
func (g *Gateway) entries(w http.ResponseWriter, r *http.Request) {
	workspace, _ := g.opts.Identities.Identify(bearer(r))
	age := int(g.opts.EntriesAge.Seconds())
	a := entriesResponse{Entries: g.opts.Directory.Entries(workspace), MaxAgeSeconds: age}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "max-age="+strconv.Itoa(age))
	h.Set("Vary", "Authorization")
	g.opts.Observer.Answered("entries", http.StatusOK)
	_ = json.NewEncoder(w).Encode(a)
}
