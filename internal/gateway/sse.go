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
	timeout time.Duration // for one write
	buf     []byte
}

func newSSEWriter(w http.ResponseWriter, timeout time.Duration) *sseWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	w.WriteHeader(http.StatusOK)
	return &sseWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

// begin starts an event; an empty name is the default event.
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

// event appends an event with v as JSON.
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

// flush sends what was appended. A caller that takes nothing for the timeout
// would hold its buffers for ever; the deadline ends its connection, and it can
// resume by the last id that it saw.
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
