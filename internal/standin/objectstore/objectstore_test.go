package objectstore

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"gotest.tools/v3/assert"
)

// ask sends one request with up to one header, as "Name: value".
func ask(s *Store, method, path, body, header string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if name, value, ok := strings.Cut(header, ": "); ok {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func TestBadInputIsAnsweredAsSuch(t *testing.T) {
	s := New(Options{LogChanges: 1})
	for range 3 {
		_, applied := s.put("k", "n", []byte(`1`), condition{version: s.version, absent: s.version == 0})
		assert.Assert(t, applied)
	}
	long := `"` + strings.Repeat("x", objectapi.MaxValueBytes) + `"`
	cases := []struct {
		method, path, body, header string
		status                     int
	}{
		{"PUT", "/objects/k/n", `1`, "", http.StatusPreconditionRequired},
		{"PUT", "/objects/k/n", `1`, "If-Match: x", http.StatusBadRequest},
		{"PUT", "/objects/k/n", `1`, "If-Match: 0", http.StatusBadRequest},
		{"PUT", "/objects/k/n", `{`, "If-Match: 3", http.StatusBadRequest},
		{"PUT", "/objects/k/n", long, "If-Match: 3", http.StatusRequestEntityTooLarge},
		{"PUT", "/objects/k/n", `1`, "If-None-Match: *", http.StatusPreconditionFailed},
		{"PUT", "/objects/k/" + strings.Repeat("n", maxNameBytes+1), `1`, "If-None-Match: *", http.StatusBadRequest},
		{"DELETE", "/objects/k/n", "", "If-None-Match: *", http.StatusBadRequest},
		{"DELETE", "/objects/k/m", "", "If-Match: 3", http.StatusPreconditionFailed},
		{"GET", "/objects/k/m", "", "", http.StatusNotFound},
		{"GET", "/watch", "", "", http.StatusBadRequest},
		{"GET", "/watch?kinds=,&since=0&wait=0", "", "", http.StatusBadRequest},
		{"GET", "/watch?kinds=k&since=-1&wait=0", "", "", http.StatusBadRequest},
		{"GET", "/watch?kinds=k&since=1&wait=0", "", "", http.StatusGone},
		{"GET", "/watch?kinds=k&since=4&wait=0", "", "", http.StatusGone},
		{"POST", "/faults", `{"loseAnswers":2}`, "", http.StatusBadRequest},
		{"POST", "/faults", `{"other":1}`, "", http.StatusBadRequest},
	}
	for _, c := range cases {
		w := ask(s, c.method, c.path, c.body, c.header)
		assert.Equal(t, w.Code, c.status, "%s %.40s %s: %.100s", c.method, c.path, c.header, w.Body)
	}
	assert.Equal(t, s.version, uint64(3))
}

// Guards against a watch whose connection survives an outage.
func TestWaitingWatchFeelsTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		state := make(chan watchState)
		go func() {
			_, ended := s.watch(t.Context(), map[string]bool{"k": true}, 0, time.Minute)
			state <- ended
		}()
		synctest.Wait()
		s.SetFaults(objectapi.Faults{Outage: true})
		assert.Equal(t, <-state, watchFails)
	})
}

// Guards against a watch of an idle kind whose position falls behind the bounded log.
func TestQuietWatchMovesOn(t *testing.T) {
	s := New(Options{LogChanges: 2})
	since := uint64(0)
	for i := range uint64(10) {
		s.put("busy", "n", []byte(`1`), condition{version: i, absent: i == 0})
		answer, state := s.watch(t.Context(), map[string]bool{"quiet": true}, since, 0)
		assert.Equal(t, state, watchAnswers)
		since = answer.Version
	}
}

// Guards against a log that keeps more bytes of values than its bound.
func TestLogIsBoundedInBytes(t *testing.T) {
	s := New(Options{LogBytes: 100})
	value := []byte(`"` + strings.Repeat("x", 38) + `"`)
	for i := range uint64(5) {
		s.put("k", "n", value, condition{version: i, absent: i == 0})
	}
	assert.Equal(t, len(s.log.changes), 2)
	assert.Equal(t, s.log.bytes, 80)
	assert.Assert(t, s.log.reaches(3) && !s.log.reaches(2))
}
