package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine/enginefault"
)

// gate applies the faults before a request reaches its handler.
func (e *Engine) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isKilled() {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == enginefault.Path {
			e.serveFaults(w, r)
			return
		}
		if e.isSilent(r) {
			e.hang(r)
			return
		}
		if e.currentFaults().Unavailable {
			writeError(w, http.StatusServiceUnavailable, "unavailable")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) isKilled() bool {
	select {
	case <-e.killed:
		return true
	default:
		return false
	}
}

func (e *Engine) currentFaults() enginefault.Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// isSilent reports whether this request's connection gets no answer.
func (e *Engine) isSilent(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns.seen(r.RemoteAddr) || e.faults.Silent
}

// hang holds a request without answering until its connection ends.
func (e *Engine) hang(r *http.Request) {
	// The server notices a closed connection only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-e.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, e.currentFaults())
		return
	}
	var f enginefault.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(f enginefault.Faults) {
	if f.Kill {
		e.Kill()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.SilenceOpen {
		e.conns.silence()
		f.SilenceOpen = false
	}
	e.faults = f
	e.events.drop = f.DropEvents
}
