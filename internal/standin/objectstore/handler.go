package objectstore

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
)

// faultsBytes bounds the body that switches the faults.
const faultsBytes = 4 << 10

// Handler returns the store's HTTP surface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectapi.ObjectsPath+"{kind}", s.serveList)
	mux.HandleFunc("GET "+objectapi.ObjectsPath+"{kind}/{name...}", s.serveGet)
	mux.HandleFunc("PUT "+objectapi.ObjectsPath+"{kind}/{name...}", s.servePut)
	mux.HandleFunc("DELETE "+objectapi.ObjectsPath+"{kind}/{name...}", s.serveDelete)
	mux.HandleFunc("GET "+objectapi.WatchPath, s.serveWatch)
	mux.HandleFunc("GET "+objectapi.CallsPath, s.serveCalls)
	mux.HandleFunc("GET "+objectapi.FaultsPath, s.serveFaults)
	mux.HandleFunc("POST "+objectapi.FaultsPath, s.serveSetFaults)
	return mux
}

// failsNow applies an outage or unavailability and reports whether it did.
func (s *Store) failsNow(w http.ResponseWriter) bool {
	f := s.Faults()
	switch {
	case f.Outage:
		closeConnection()
	case f.Unavailable:
		jsonio.Fail(w, http.StatusServiceUnavailable, "the store is unavailable; nothing was done")
		return true
	}
	return false
}

// closeConnection ends the request without an answer.
func closeConnection() { panic(http.ErrAbortHandler) }

// delayAnswer delays an answer by the time of the slow fault.
func (s *Store) delayAnswer(r *http.Request) {
	delay := time.Duration(s.Faults().SlowMillis) * time.Millisecond
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	jsonio.Write(w, http.StatusOK, s.Calls())
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) {
	jsonio.Write(w, http.StatusOK, s.Faults())
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f objectapi.Faults
	if err := jsonio.Decode(r.Body, faultsBytes, &f); err != nil {
		jsonio.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.SlowMillis < 0 || f.LoseAnswers < 0 || f.LoseAnswers > 1 {
		jsonio.Fail(w, http.StatusBadRequest, "slowMillis is at least 0 and loseAnswers is from 0 to 1")
		return
	}
	s.SetFaults(f)
	jsonio.Write(w, http.StatusOK, f)
}
