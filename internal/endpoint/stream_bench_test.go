package endpoint

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// tokenBody returns one event for each read, as an engine's tokens arrive, with consecutive offsets.
type tokenBody struct {
	offset int
	buf    []byte
}

func (b *tokenBody) Read(p []byte) (int, error) {
	b.buf = strconv.AppendInt(append(b.buf[:0], "id: "...), int64(b.offset), 10)
	b.buf = strconv.AppendInt(append(b.buf, "\ndata: {\"offset\":"...), int64(b.offset), 10)
	b.buf = append(b.buf, ",\"text\":\" bearing\"}\n\n"...)
	b.offset++
	return copy(p, b.buf), nil
}

func (b *tokenBody) Close() error { return nil }

var _ io.ReadCloser = &tokenBody{}

func BenchmarkStreamNext(b *testing.B) {
	body := &tokenBody{offset: 1234}
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
