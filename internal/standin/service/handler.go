package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

const (
	maxBody  = 1 << 20 // of an order, bytes
	maxStock = 500     // of a part
)

// Handler serves the service's API and its fault switch.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+serviceapi.OrdersPath, s.serveOrder)
	mux.HandleFunc("GET "+serviceapi.StockPath+"{part}", s.serveStock)
	mux.HandleFunc("GET "+serviceapi.ExecutionsPath, s.serveExecutions)
	mux.HandleFunc("POST "+serviceapi.FaultsPath, s.serveFaults)
	mux.HandleFunc("GET "+serviceapi.FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.currentFaults())
	})
	mux.HandleFunc("GET "+serviceapi.HealthPath, func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.cutIfKilled()
		mux.ServeHTTP(w, r)
	})
}

func (s *Service) cutIfKilled() {
	select {
	case <-s.killed:
		panic(http.ErrAbortHandler)
	default:
	}
}

// serveOrder runs an order, then lets the faults lose its answer.
func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	reused := s.reused(r)
	var order serviceapi.OrderRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order)
	if err != nil || order.Part == "" || order.Quantity < 1 {
		http.Error(w, "part and quantity are needed", http.StatusBadRequest)
		return
	}
	number := s.ledger.Run(r.Header.Get(serviceapi.KeyHeader))
	if !s.afterEffect(w, r, reused) {
		return
	}
	writeJSON(w, serviceapi.OrderAnswer{
		Order:    fmt.Sprintf("order-%d", number),
		Part:     order.Part,
		Quantity: order.Quantity,
	})
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	if !s.afterEffect(w, r, s.reused(r)) {
		return
	}
	part := r.PathValue("part")
	quantity := int(xxh3.HashString(part) % maxStock)
	writeJSON(w, serviceapi.Stock{Part: part, Quantity: quantity})
}

// afterEffect applies the faults and reports whether the answer is to be sent.
func (s *Service) afterEffect(w http.ResponseWriter, r *http.Request, reused bool) bool {
	f := s.currentFaults()
	if f.SlowMillis > 0 {
		s.pause(r, time.Duration(f.SlowMillis)*time.Millisecond)
	}
	s.cutIfKilled()
	if f.LoseAnswers || (f.CloseAfterRead && reused) {
		panic(http.ErrAbortHandler)
	}
	if f.Unavailable {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// pause delays an answer. It ends early with the caller or the service.
func (s *Service) pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	case <-s.closed:
	case <-s.killed:
	}
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.ledger.Executions())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f serviceapi.Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
