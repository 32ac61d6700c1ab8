package endpoint

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// tokenBody returns one event for each read, as an engine's tokens arrive.
type tokenBody struct{ event string }

func (b tokenBody) Read(p []byte) (int, error) { return copy(p, b.event), nil }
func (b tokenBody) Close() error               { return nil }

var _ io.ReadCloser = tokenBody{}

func BenchmarkStreamNext(b *testing.B) {
	body := tokenBody{event: "id: 1234\ndata: {\"offset\":1234,\"text\":\" bearing\"}\n\n"}
	opts := StreamOptions{FirstTokenTimeout: time.Minute, StallTimeout: time.Minute}
	wd := newWatchdog(context.Background(), opts.FirstTokenTimeout)
	resp := &http.Response{Header: make(http.Header), Body: body}
	s := newStream(newPool("x:1", &Options{}), nil, wd, resp, opts, time.Now())
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
