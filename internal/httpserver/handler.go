package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// handler reports the progress of requests to the guard.
type handler struct {
	http.Handler
	guard *Guard
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.Handler.ServeHTTP(w, r)
		return
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	size, fields := headSize(r)
	give, ok := c.state.Begin(time.Now(), size, fields, hasBody)
	h.guard.close(give)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer func() { c.state.Answered(time.Now()) }()
	if hasBody {
		// net/http looks at the type of the body that it made itself.
		r = r.WithContext(r.Context())
		r.Body = &body{ReadCloser: r.Body, conn: c}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	h.Handler.ServeHTTP(w, r)
}

// bodyTimeout is how long a body may take where the handler sets no other deadline.
const bodyTimeout = 10 * time.Second

// headSize returns the bytes and the fields of a request's head.
func headSize(r *http.Request) (size, fields int) {
	size = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	return size, fields
}

// body reports its end.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.state.Complete(time.Now())
	}
	return n, err
}
