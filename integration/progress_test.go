package integration

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

// progress reports when all of some streams have brought a token.
type progress struct {
	all  chan struct{} // closed then
	mu   sync.Mutex
	left int
}

func newProgress(streams int) *progress {
	return &progress{all: make(chan struct{}), left: streams}
}

func (p *progress) one() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left--; p.left == 0 {
		close(p.all)
	}
}

// watch returns a transport that looks into the answers to new completions.
func (p *progress) watch(next http.RoundTripper) http.RoundTripper {
	return watching{progress: p, next: next}
}

type watching struct {
	progress *progress
	next     http.RoundTripper
}

func (w watching) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.next.RoundTrip(r)
	if err == nil && r.URL.Path == caller.CompletionsPath {
		resp.Body = &watchedBody{ReadCloser: resp.Body, progress: w.progress}
	}
	return resp, err
}

// watchedBody reports the first token that passes.
type watchedBody struct {
	io.ReadCloser
	progress *progress
	told     bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.told && bytes.Contains(p[:n], []byte(`"content":`)) {
		b.told = true
		b.progress.one()
	}
	return n, err
}
