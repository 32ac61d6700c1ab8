package forward

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// readHeaderTimeout bounds the time for reading a request's head.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than daemons keep idle connections.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head: prompts may have hundreds of parts.
	maxHeaderBytes = 256 << 10
	// busyRetryAfter is the retry delay of a request whose body doesn't fit into the memory
	// for forwarded ones.
	busyRetryAfter = 250 * time.Millisecond
)

// Handler serves the requests of other daemons.
type Handler interface {
	ServeForwarded(ctx context.Context, r *relay.ForwardedRequest, sink relay.Sink)
}

// Server accepts the requests of other daemons.
type Server struct {
	handler  Handler
	maxBytes int64
	bytes    atomic.Int64 // of the bodies in memory
	server   *httpserver.Server
	log      *logrus.Entry
}

// Open listens at an address. maxBytes bounds the bodies of all requests in progress.
func Open(h Handler, address string, maxBytes int64, logger *logrus.Entry) (*Server, error) {
	s := &Server{handler: h, maxBytes: maxBytes, log: logger}
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // only broken connections
	}
	lc := net.ListenConfig{Control: upstream.UserTimeout}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.server = httpserver.Start(server, l, logger)
	return s, nil
}

// Close stops listening, waits for the requests in progress until the context ends, and
// closes all connections.
func (s *Server) Close(ctx context.Context) error { return s.server.Close(ctx) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	size := max(r.ContentLength, 0)
	defer s.bytes.Add(-size)
	to := &sink{w: w, headOnly: r.Method == http.MethodHead}
	if s.bytes.Add(size) > s.maxBytes && size > 0 {
		if e, err := decode(r, nil); err == nil {
			to.id = e.Request.ID
		}
		to.Refuse(relay.Refusal{Reason: relay.Shed, Verdict: verdict.NotRun, RetryAfter: busyRetryAfter})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the request was truncated
	}
	fr, err := decode(r, body)
	if err != nil {
		s.log.WithError(err).Warn("forwarded request not decoded")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	to.id = fr.Request.ID
	s.handler.ServeForwarded(r.Context(), fr, to)
	if to.aborted {
		panic(http.ErrAbortHandler) // the other daemon must see a truncated answer
	}
}
