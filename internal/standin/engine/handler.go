package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// maxBody bounds a request: a prompt of a whole service history is well below.
const maxBody = 32 << 20

// errorBody is the JSON of a failure.
type errorBody struct {
	Error string `json:"error"`
}

// Handler serves the engine's API and its fault switch.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.CompletionsPath, e.serveCompletion)
	mux.HandleFunc("GET "+engineapi.StreamPath+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+engineapi.StreamPath+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engineapi.LoadPath, e.serveLoad)
	mux.HandleFunc("GET "+engineapi.EventsPath, e.serveEvents)
	mux.HandleFunc("POST "+engineapi.ExportPath, e.serveExport)
	mux.HandleFunc("POST "+engineapi.ImportPath, e.serveImport)
	mux.HandleFunc("POST "+engineapi.OrdersPath, e.serveOrder)
	mux.HandleFunc("GET "+engineapi.ModelsPath, e.serveModels)
	mux.HandleFunc("GET "+engineapi.CountersPath, e.serveCounters)
	mux.HandleFunc("GET "+engineapi.HealthPath, func(http.ResponseWriter, *http.Request) {})
	return e.gate(mux)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.load.report(time.Now())
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil && r.URL.Query().Has("since") {
		writeError(w, http.StatusBadRequest, "since is not a number")
		return
	}
	e.mu.Lock()
	page := e.events.since(time.Now(), since)
	e.mu.Unlock()
	writeJSON(w, page)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var ask engineapi.KVExport
	if !readJSON(w, r, &ask) {
		return
	}
	s := e.find(ask.StreamID)
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	blob, ok := e.export(r.Context(), s)
	if ok {
		writeJSON(w, blob)
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob engineapi.KVBlob
	if !readJSON(w, r, &blob) {
		return
	}
	e.importBlob(blob)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	kinds := []engineapi.OrderKind{engineapi.LoadModel, engineapi.UnloadModel, engineapi.SetRole}
	if !slices.Contains(kinds, order.Kind) {
		writeError(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	if refusal := e.obey(order); refusal != nil {
		writeStatusJSON(w, http.StatusConflict, refusal)
	}
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	models := append([]fleet.ModelRef{}, e.models...)
	e.mu.Unlock()
	writeJSON(w, models)
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counters())
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBody)
	err := json.NewDecoder(body).Decode(v)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	// The server notices a closed connection only once the body was read.
	_, _ = io.Copy(io.Discard, body)
	return true
}

func writeJSON(w http.ResponseWriter, v any) { writeStatusJSON(w, http.StatusOK, v) }

func writeError(w http.ResponseWriter, status int, text string) {
	writeStatusJSON(w, status, errorBody{Error: text})
}

func writeStatusJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
