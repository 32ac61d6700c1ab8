package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// deployment is a fake of an entry, the instance list, an engine and a plain
// service, all at one address.
type deployment struct {
	address     string
	salt        string        // part of the hash that determines each text
	stall       time.Duration // delay of the first completion
	runTwice    bool          // orders run twice
	falseNotRun bool          // orders run and are answered with not-run
	counters    engineapi.Counters

	mu   sync.Mutex
	seen int
	ran  map[string]int
}

func (d *deployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == caller.EntriesPath:
		fmt.Fprintf(w, `{"entries":[{"address":%q}],"maxAgeSeconds":10}`, d.address)
	case r.URL.Path == caller.CompletionsPath:
		d.complete(w, r)
	case strings.HasPrefix(r.URL.Path, caller.ServicesPath):
		d.call(w, r)
	case r.URL.Path == engineapi.CountersPath:
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(d.counters)
	case r.URL.Path == serviceapi.ExecutionsPath:
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(d.ran)
	case r.URL.Path == listapi.ListPath:
		_ = json.NewEncoder(w).Encode(listapi.List{Endpoints: []fleet.Endpoint{
			{Address: d.address, Kind: fleet.EngineEndpoint, HourPrice: 36},
			{Address: d.address, Kind: fleet.ServiceEndpoint},
		}})
	}
}

func (d *deployment) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	raw, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(raw, &body)
	d.mu.Lock()
	d.seen++
	first := d.seen == 1
	d.counters.Executions++
	d.counters.RecomputedTokens += 10
	d.mu.Unlock()
	if first {
		time.Sleep(d.stall)
	}
	fmt.Fprintf(w, "id: 0\nevent: accepted\ndata: {}\n\n")
	for n := 1; n <= body.MaxTokens; n++ {
		word := xxh3.HashString(fmt.Sprint(string(raw), d.salt, n))
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\" %x\"},\"finish_reason\":null}]}\n\n", n, word)
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
}

func (d *deployment) call(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(serviceapi.KeyHeader)
	d.mu.Lock()
	defer d.mu.Unlock()
	if key != "" {
		d.ran[key]++
	}
	switch {
	case key != "" && d.falseNotRun:
		problem.Write(w, problem.New(http.StatusBadRequest, verdict.NotRun, "no"))
		return
	case key != "" && d.runTwice:
		d.ran[key]++
	}
	_, _ = io.WriteString(w, `{}`)
}

// RoundTrip makes the deployment a transport, for tests in virtual time without
// sockets.
func (d *deployment) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), nil
}

func newDeployment() *deployment {
	return &deployment{address: "127.0.0.1:1", ran: map[string]int{}}
}
