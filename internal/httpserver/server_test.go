package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func start(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return Start(&http.Server{Handler: h, ReadHeaderTimeout: time.Second}, l, quiet.WithField("part", "test")), l.Addr().String()
}

func TestCloseWaitsForRequestsInProgress(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	answer := make(chan string)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-begun
	closed := make(chan error)
	go func() { closed <- s.Close(context.Background()) }()
	close(finish)
	assert.Equal(t, <-answer, "done")
	assert.NilError(t, <-closed)
}

func TestCloseEndsRequestsWithTheContext(t *testing.T) {
	begun := make(chan struct{})
	s, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	failed := make(chan error)
	go func() {
		resp, err := http.Get("http://" + address)
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, errors.Is(s.Close(ctx), context.Canceled))
	assert.Assert(t, <-failed != nil)
}
