package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// lockedBuffer is a log that a test reads while daemons write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// speedsSeen is what a daemon has seen of the endpoints of newEngineFleet.
func speedsSeen(slow string, factor float64) speed.Observations {
	out := speed.Observations{}
	for i := 1; i <= 3; i++ {
		o := speed.Observation{Weight: 40, LogEventSeconds: -3}
		if id := fmt.Sprint("e", i); id == slow {
			o.LogEventSeconds += factor
		}
		out[rendezvous.ShortKeyOf(fmt.Sprint("e", i))] = o
	}
	return out
}

// Guards against observations that a daemon reports and others don't get, use or show.
func TestDaemonsLearnSpeedsFromOthersObservations(t *testing.T) {
	f := newFleet(t, 0)
	f.addEndpoint("e2")
	f.addEndpoint("e3")
	_, err := f.store.Replace(t.Context(), "config", "main", 0, json.RawMessage("2 engines"))
	assert.NilError(t, err)
	log := &lockedBuffer{}
	for range 2 {
		f.addWith(f.store, func(n *Node) { n.log.SetOutput(log) })
	}
	f.awaitReady()
	report := exchange.Report{Daemon: "x", Soft: relay.SoftState{Speeds: speedsSeen("e2", 1)}, Fetches: true, ConfigVersion: 2}
	shown := func(n *Node, text string) bool {
		var metrics strings.Builder
		n.Metrics(&metrics)
		return strings.Contains(metrics.String(), "cyclamenbeam_endpoint_slowness{service=\"s\",speed="+text)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range f.nodes {
			report.WallTime = time.Now()
			n.peers.Report(report)
		}
		for _, n := range f.nodes {
			if !shown(n, "\"slower\"} 1") || !shown(n, "\"faster\"} 0") {
				return poll.Continue("not at %s", n.settings.Daemon.Instance)
			}
		}
		if log.count("endpoint is slow") < 1 {
			return poll.Continue("not logged")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(50*time.Millisecond))
	logged := log.count("endpoint is slow") // once, or at both daemons if no holder was known yet
	assert.Assert(t, logged <= 2)
	assert.Equal(t, log.count("endpoint=e2"), logged)
	assert.Equal(t, log.count("service=s"), logged)
}

// Guards against a misspelt setting that turns the estimates on or off.
func TestSettingOfSpeeds(t *testing.T) {
	const head = "daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\n"
	for text, want := range map[string]speed.Mode{
		"": speed.ModeAuto, "balance: {speeds: auto}": speed.ModeAuto, "balance: {speeds: on}": speed.ModeOn,
		"balance: {speeds: off}": speed.ModeOff, "balance:\n  speeds: \n": speed.ModeAuto,
	} {
		s, err := ParseSettings([]byte(head + text))
		assert.NilError(t, err)
		assert.Equal(t, s.Balance.speeds(), want, "%s", text)
	}
	_, err := ParseSettings([]byte(head + "balance: {speeds: yes}"))
	assert.ErrorContains(t, err, `balance.speeds: is "yes", must be auto, on or off`)
}
