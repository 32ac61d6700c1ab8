package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// controlTimeout bounds a call to a stand-in's switch or counter.
const controlTimeout = 10 * time.Second

// background is for calls that outlive a test's own context.
var background = context.Background()

// control calls the stand-ins. Each call has its own connection: faults hit
// connections, and the test's own must not be among them.
var control = &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends v as JSON to a stand-in's switch.
func post(t *testing.T, url string, v any) {
	t.Helper()
	assert.NilError(t, tryPost(url, v))
}

func tryPost(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := control.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode/100 != 2 {
		return fmt.Errorf("POST %s: %d %s", url, resp.StatusCode, text)
	}
	return nil
}

// fetch reads JSON from a URL.
func fetch[T any](url string) (T, error) {
	var v T
	resp, err := control.Get(url)
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

func get[T any](t *testing.T, url string) T {
	t.Helper()
	v, err := fetch[T](url)
	assert.NilError(t, err)
	return v
}

// counters returns an engine's totals.
func (c *cluster) counters(t *testing.T, i int) engineapi.Counters {
	t.Helper()
	return get[engineapi.Counters](t, c.engine(i)+engineapi.CountersPath)
}

// executions returns how often each key's order ran.
func (c *cluster) executions(t *testing.T) map[string]int {
	t.Helper()
	return get[map[string]int](t, c.service(0)+serviceapi.ExecutionsPath)
}

// waitFor waits for a condition that a test depends on.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}
	poll.WaitOn(t, check, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}
