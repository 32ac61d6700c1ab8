package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkServicesDo compares a call that must be sent once, which dials a
// connection of its own, with a call on a pooled one, over loopback.
func BenchmarkServicesDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	for name, once := range map[string]bool{"pooled": false, "once": true} {
		b.Run(name, func(b *testing.B) {
			c := NewServices(Options{})
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				answer, err := c.Do(b.Context(), server.Listener.Addr().String(), newOrder("key", "body", once))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
}
