package delivery

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// answer writes a status with a body for the request of a log, and returns what the caller gets.
func answer(l *Log, status int) *httptest.ResponseRecorder {
	got := httptest.NewRecorder()
	w := NewWriter(got, l)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
	_, _ = w.Write([]byte("text"))
	return got
}

// Guards against a status that says "not run" of a request that may have been run.
func TestStatusNeedsAProof(t *testing.T) {
	for status := 200; status < 600; status++ {
		open, proven, repeatable := NewLog(), NewLog(), NewLog()
		for _, l := range []*Log{open, proven, repeatable} {
			d, err := l.Begin("i-1")
			assert.NilError(t, err)
			if l == proven {
				d.Settle(Record{NotRun: true, Evidence: EndpointStates, Status: status})
			}
		}
		repeatable.AllowRepeats()
		want, text, after := status, "text", "1"
		switch status {
		case 408, 421, 429, 503:
			want, text, after = http.StatusBadGateway, "", ""
		}
		got := answer(open, status)
		assert.Equal(t, got.Code, want)
		assert.Equal(t, got.Body.String(), text)
		assert.Equal(t, got.Header().Get("Retry-After"), after)
		assert.Equal(t, answer(proven, status).Code, status)
		assert.Equal(t, answer(repeatable, status).Code, status)
		assert.Equal(t, answer(NewLog(), status).Code, status)
	}
}

// Guards against a request that is sent after its caller was answered that it won't be run.
func TestRefusedRequestIsSentNowhere(t *testing.T) {
	l := NewLog()
	assert.Equal(t, answer(l, http.StatusServiceUnavailable).Code, http.StatusServiceUnavailable)
	_, err := l.Begin("i-1")
	assert.ErrorIs(t, err, ErrClosed)
}
