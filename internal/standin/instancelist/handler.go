package instancelist

import (
	"net/http"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

// faultsBytes bounds the body that switches the faults.
const faultsBytes = 4 << 10

// Handler returns the list's HTTP surface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listapi.ListPath, l.serveList)
	mux.HandleFunc("POST "+listapi.FaultsPath, l.serveFaults)
	return mux
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	list, ok := l.answer()
	if !ok {
		jsonio.Fail(w, http.StatusServiceUnavailable, "the instance list is unavailable")
		return
	}
	if list.Entries == nil {
		list.Entries = []listapi.Entry{}
	}
	if list.Endpoints == nil {
		list.Endpoints = []fleet.Endpoint{}
	}
	jsonio.Write(w, http.StatusOK, list)
}

func (l *List) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f listapi.Faults
	if err := jsonio.Decode(r.Body, faultsBytes, &f); err != nil {
		jsonio.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.LagMillis < 0 || int64(f.LagMillis) > maxLag.Milliseconds() {
		jsonio.Fail(w, http.StatusBadRequest, "lagMillis is from 0 to ten minutes")
		return
	}
	l.SetFaults(f)
	jsonio.Write(w, http.StatusOK, f)
}
