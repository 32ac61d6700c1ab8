package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	if !readJSON(w, r, &req) {
		return
	}
	if len(req.Messages) == 0 || req.MaxTokens < 1 {
		writeError(w, http.StatusBadRequest, "messages and max_tokens are needed")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engineapi.PriorityHeader))
	s := newStream(req, priority)
	status, text := e.admit(s, req.KV)
	if status != http.StatusOK {
		w.Header().Set("Retry-After", "1")
		writeError(w, status, text)
		return
	}
	e.send(w, r, s, len(s.cont))
}

func newStream(req engineapi.CompletionRequest, priority int) *stream {
	rendered := prompt.Render(req.Messages)
	return &stream{
		id:       uuid.NewString(),
		model:    fleet.ModelRef{Model: req.Model, Adapter: req.Adapter, Version: req.Version},
		rendered: rendered,
		prompt:   prompt.Tokens(rendered),
		cont:     req.Continue,
		seed:     promptSeed(rendered),
		total:    max(req.MaxTokens, len(req.Continue)),
		priority: priority,
		produced: len(req.Continue),
		done:     make(chan struct{}),
		readers:  make(map[chan struct{}]struct{}),
	}
}

// admit starts a stream, or returns the status and text of a refusal.
func (e *Engine) admit(s *stream, kv string) (int, string) {
	ctx, cancel := context.WithCancel(e.ctx)
	s.cancel = cancel
	e.mu.Lock()
	defer e.mu.Unlock()
	if status, text := e.refusal(s); status != http.StatusOK {
		cancel()
		return status, text
	}
	if blob, ok := e.blobs.get(kv); ok {
		s.blob = &blob
	}
	e.counters.Executions++
	e.streams[s.id] = s
	e.work.Add(1)
	go e.generate(ctx, s)
	return http.StatusOK, ""
}

// refusal says why a stream can't start. The caller holds mu.
func (e *Engine) refusal(s *stream) (int, string) {
	switch {
	case e.closed || e.faults.RefuseNew:
		return http.StatusServiceUnavailable, "no new requests"
	case !e.serves(s.model):
		return http.StatusNotFound, "model not loaded"
	case e.queue.Len() >= e.o.MaxQueue:
		return http.StatusTooManyRequests, "queue full"
	default:
		return http.StatusOK, ""
	}
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 || from > s.total {
		writeError(w, http.StatusBadRequest, "from is not an offset of the answer")
		return
	}
	e.send(w, r, s, from)
}

// serveCancel stops a stream and frees its slot before it answers.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	s.cancel()
	<-s.done
	s.stopTimer()
	e.mu.Lock()
	delete(e.streams, s.id)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
