package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// sseWriter writes server-sent events, each with an id.
type sseWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration // of one flush
	buf     []byte        // events not yet flushed
}

func newSSEWriter(w http.ResponseWriter, timeout time.Duration) *sseWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	w.WriteHeader(http.StatusOK)
	return &sseWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

// begin appends the start of an event, up to its data. An empty name stands for
// the default event type.
func (s *sseWriter) begin(id int, name string) {
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(id), 10)
	if name != "" {
		s.buf = append(s.buf, "\nevent: "...)
		s.buf = append(s.buf, name...)
	}
	s.buf = append(s.buf, "\ndata: "...)
}

func (s *sseWriter) end() { s.buf = append(s.buf, "\n\n"...) }

// event appends an event whose data is v as JSON.
func (s *sseWriter) event(id int, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.begin(id, name)
	s.buf = append(s.buf, data...)
	s.end()
	return nil
}

// flush sends the appended events. Without a write deadline, a caller that stops
// reading would occupy its buffers indefinitely. The deadline closes the
// connection; the caller can resume from the last event id that it received.
func (s *sseWriter) flush() error {
	err := s.rc.SetWriteDeadline(time.Now().Add(s.timeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	s.buf = s.buf[:0]
	return s.rc.Flush()
}
