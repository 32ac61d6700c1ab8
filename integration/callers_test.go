package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

// pinned answers the question for entries itself, so that a test decides which
// entry takes a request, and which ones are there to resume on.
type pinned struct {
	entries []string // first to last choice
	next    http.RoundTripper
}

// entryList is the body of GET /v1/entries.
type entryList struct {
	Entries []entryAddress `json:"entries"`
}

type entryAddress struct {
	Address string `json:"address"`
}

func (p pinned) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != caller.EntriesPath {
		return p.next.RoundTrip(r)
	}
	var list entryList
	for _, e := range p.entries {
		list.Entries = append(list.Entries, entryAddress{Address: e})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(strings.NewReader(string(body))), Request: r}, nil
}

// callerTimeouts suit a test: a caller gives up a silent entry soon.
const (
	progressTimeout = 8 * time.Second
	requestTimeout  = 90 * time.Second
)

// callersOf returns callers that use the entries in the given order.
func callersOf(entries ...string) *caller.Client {
	return caller.New(caller.Options{
		Seeds:           entries,
		Transport:       pinned{entries: entries, next: caller.NewTransport()},
		ProgressTimeout: progressTimeout,
		RequestTimeout:  requestTimeout,
	}, []string{deployment.DevToken})
}
