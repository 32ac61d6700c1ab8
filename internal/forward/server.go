package forward

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

const (
	// maxHeaderBytes bounds a request's head: prompts may have hundreds of parts.
	maxHeaderBytes = 256 << 10
	// maxBodyBytes bounds a body: daemons forward what their listeners accept.
	maxBodyBytes = 64 << 20
	// bodyTimeout is the time of a request from which its wait for memory follows. Daemons send bodies
	// at once.
	bodyTimeout = time.Second
)

// Handler serves the requests of other daemons.
type Handler interface {
	ServeForwarded(ctx context.Context, r *relay.ForwardedRequest, sink relay.Sink)
}

// Server accepts the requests of other daemons.
type Server struct {
	handler Handler
	bodies  *relay.Bodies
	server  *httpserver.Server
	log     *logrus.Entry
}

// Open listens at an address, for at most as many connections as it has places. bodies holds the
// bodies of the requests in progress.
func Open(h Handler, address string, bodies *relay.Bodies, guard *httpserver.Guard, places int, logger *logrus.Entry) (*Server, error) {
	s := &Server{handler: h, bodies: bodies, log: logger}
	server := &http.Server{
		Handler:        http.HandlerFunc(s.serve),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // only broken connections
	}
	l, err := httpserver.Listen(context.Background(), address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.server = guard.Start(server, l, "forward", places, logger)
	return s, nil
}

// Close stops listening, waits for the requests in progress until the context ends, and
// closes all connections.
func (s *Server) Close(ctx context.Context) error { return s.server.Close(ctx) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	fr, err := decode(r, nil)
	if err != nil {
		s.log.WithError(err).Warn("forwarded request not decoded")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	to := &sink{w: delivery.NewWriter(w, delivery.NewLog()), headOnly: r.Method == http.MethodHead, id: fr.Request.ID}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(fr.TimeLeft))
	body, err := s.bodies.Read(r.Context(), http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, bodyTimeout)
	defer body.Release()
	if errors.Is(err, relay.ErrNoMemory) {
		to.Refuse(relay.RefuseBody())
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the request was truncated
	}
	// The server goes on reading, to see whether the other daemon leaves.
	_ = control.SetReadDeadline(time.Time{})
	fr.Request.Body = body.Bytes
	s.handler.ServeForwarded(r.Context(), fr, to)
	if status := to.w.Replaced(); status != 0 {
		s.log.WithFields(logrus.Fields{"id": to.id, "status": status}).Error("answer replaced: nothing proves its status")
	}
	if to.aborted {
		panic(http.ErrAbortHandler) // the other daemon must see a truncated answer
	}
}
