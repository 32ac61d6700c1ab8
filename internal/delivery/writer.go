package delivery

import "net/http"

// SaysNotRun reports whether a status guarantees to callers that their request was not run and
// won't be.
func SaysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Writer writes the answer to one request. A status for which SaysNotRun is true passes only if the
// request's log proves it, or if the request may be repeated; in its place callers get 502 without
// a body.
type Writer struct {
	http.ResponseWriter
	log      *Log
	replaced int
}

// NewWriter returns a writer of the answer to the request of a log.
func NewWriter(w http.ResponseWriter, l *Log) *Writer { return &Writer{ResponseWriter: w, log: l} }

// Unwrap is for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Deliveries returns the request's log.
func (w *Writer) Deliveries() *Log { return w.log }

// Replaced returns the status in whose place 502 was sent, 0 if none was replaced.
func (w *Writer) Replaced() int { return w.replaced }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if !w.log.permits(status) {
		w.replaced = status
		clear(w.Header())
		w.Header().Set("Content-Length", "0")
		status = http.StatusBadGateway
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(p []byte) (int, error) {
	if w.replaced != 0 {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}
