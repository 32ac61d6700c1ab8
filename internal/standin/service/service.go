package service

import (
	"net/http"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// Options of a Service.
type Options struct {
	Ledger *Ledger // shared by the replicas; nil makes one
}

// Service is one replica of the stand-in. Make one with New.
type Service struct {
	ledger *Ledger
	closed chan struct{}
	killed chan struct{}

	mu     sync.Mutex
	faults serviceapi.Faults
	conns  map[string]struct{} // remote addresses that sent a request before
}

// New returns a running replica. Stop it with Close.
func New(o Options) *Service {
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	return &Service{
		ledger: o.Ledger,
		closed: make(chan struct{}),
		killed: make(chan struct{}),
		conns:  make(map[string]struct{}),
	}
}

// Close ends requests that are being slowed down.
func (s *Service) Close() { closeOnce(&s.mu, s.closed) }

// Kill ends the replica as a vanished instance does: open and later requests
// get their connection cut. The owner of the listener closes it on Killed.
func (s *Service) Kill() { closeOnce(&s.mu, s.killed) }

// Killed is closed by Kill.
func (s *Service) Killed() <-chan struct{} { return s.killed }

// SetFaults replaces all fault switches.
func (s *Service) SetFaults(f serviceapi.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) currentFaults() serviceapi.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func closeOnce(mu *sync.Mutex, c chan struct{}) {
	mu.Lock()
	defer mu.Unlock()
	select {
	case <-c:
	default:
		close(c)
	}
}

// maxConns bounds the remote addresses remembered.
const maxConns = 4096

// reused notes the connection and reports whether it was there before.
func (s *Service) reused(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.conns[r.RemoteAddr]
	if !known && len(s.conns) >= maxConns {
		clear(s.conns)
	}
	s.conns[r.RemoteAddr] = struct{}{}
	return known
}
