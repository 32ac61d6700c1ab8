// Package httpserver runs an HTTP server on a listener and closes both.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"
)

// Server is an HTTP server that serves a listener.
type Server struct {
	server   *http.Server
	listener *onceListener
}

// Start serves a listener until Close. It logs if the listener ends earlier.
func Start(server *http.Server, l net.Listener, log *logrus.Entry) *Server {
	s := &Server{server: server, listener: &onceListener{Listener: l}}
	go func() {
		err := server.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.WithError(err).Error("listener ended")
		}
	}()
	return s
}

// Close stops listening, waits for the requests in progress until the context ends, and
// closes all connections. No connection is accepted after it has begun.
func (s *Server) Close(ctx context.Context) error {
	// Shutdown closes only listeners that Serve has already been called with.
	err := s.listener.Close()
	if failed := s.server.Shutdown(ctx); failed != nil {
		err = errors.Join(err, failed, s.server.Close())
	}
	return err
}

// onceListener returns the first result of Close from each later call.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}
