package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// send sends one request on the connection named remote. It returns nil where
// the connection was cut without an answer.
func send(s *Service, remote, method, path, body, key string) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = remote
	r.Header.Set(serviceapi.KeyHeader, key)
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	s.Handler().ServeHTTP(w, r)
	return w
}

func order(s *Service, remote, key string) *httptest.ResponseRecorder {
	return send(s, remote, http.MethodPost, serviceapi.OrdersPath, `{"part":"belt","quantity":2}`, key)
}

func TestReplicasShareTheLedger(t *testing.T) {
	ledger := NewLedger()
	a, b := New(Options{Ledger: ledger}), New(Options{Ledger: ledger})
	assert.Equal(t, strings.TrimSpace(order(a, "1", "k").Body.String()), `{"order":"order-1","part":"belt","quantity":2}`)
	order(b, "1", "k")
	order(b, "1", "l")
	got := send(a, "1", http.MethodGet, serviceapi.ExecutionsPath, "", "")
	assert.Equal(t, strings.TrimSpace(got.Body.String()), `{"k":2,"l":1}`)
	assert.Equal(t, send(a, "1", http.MethodPost, serviceapi.OrdersPath, "{}", "m").Code, http.StatusBadRequest)
	assert.Equal(t, ledger.Executions()["m"], 0)
	stock := func(s *Service) string {
		return send(s, "1", http.MethodGet, serviceapi.StockPath+"belt", "", "").Body.String()
	}
	assert.Equal(t, stock(a), stock(b))
}

// Guards against faults that keep an order from running.
func TestFaultsComeAfterTheEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		set := func(json string) {
			assert.Equal(t, send(s, "0", http.MethodPost, serviceapi.FaultsPath, json, "").Code, http.StatusNoContent)
		}
		set(`{"unavailable":true}`)
		assert.Equal(t, order(s, "1", "unavailable").Code, http.StatusServiceUnavailable)
		set(`{"loseAnswers":true}`)
		assert.Assert(t, order(s, "2", "lost") == nil)
		set(`{"closeAfterRead":true}`)
		assert.Equal(t, order(s, "3", "fresh").Code, http.StatusOK)
		assert.Assert(t, order(s, "3", "reused") == nil)
		set(`{"slowMillis":5000}`)
		began := time.Now()
		assert.Equal(t, order(s, "4", "slow").Code, http.StatusOK)
		assert.Equal(t, time.Since(began), 5*time.Second)
		s.Kill()
		assert.Assert(t, order(s, "5", "killed") == nil)
		want := map[string]int{"unavailable": 1, "lost": 1, "fresh": 1, "reused": 1, "slow": 1}
		assert.DeepEqual(t, s.ledger.Executions(), want)
	})
}
