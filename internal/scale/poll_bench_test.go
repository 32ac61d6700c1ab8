package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/standin/engine"
)

// BenchmarkPoll is what one poll of an engine costs its daemon: the load
// report, and a page of cache events of three sizes. cpu-ns is the processor
// time of both ends, of which the server's part is small.
func BenchmarkPoll(b *testing.B) {
	address := standin(b)
	load := recorded(b, address, engineapi.LoadPath)
	b.Run("load", func(b *testing.B) {
		poll(b, canned(b, load), func(e *endpoint.Engines, address string) error {
			_, err := e.Load(context.Background(), address)
			return err
		})
	})
	for _, events := range []int{0, 64, 2048} {
		page := eventsAnswer(events)
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			poll(b, canned(b, page), func(e *endpoint.Engines, address string) error {
				_, err := e.CacheEvents(context.Background(), address, 123_456)
				return err
			})
		})
	}
}

func poll(b *testing.B, address string, one func(*endpoint.Engines, string) error) {
	var w wire
	client := endpoint.NewEngines(endpoint.Options{Dial: w.dial})
	if err := one(client, address); err != nil {
		b.Fatal(err)
	}
	in, out, cpu := w.in.Load(), w.out.Load(), cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		if err := one(client, address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(w.in.Load()-in)/float64(b.N), "in-B/poll")
	b.ReportMetric(float64(w.out.Load()-out)/float64(b.N), "out-B/poll")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/poll")
}

// BenchmarkPolledConnections is the memory of connections that wait for the
// next poll, both ends in this process: half of it is a daemon's.
func BenchmarkPolledConnections(b *testing.B) {
	load := recorded(b, standin(b), engineapi.LoadPath)
	for _, engines := range []int{18, 170, 690} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			addresses := make([]string, engines)
			for i := range addresses {
				addresses[i] = canned(b, load)
			}
			for b.Loop() {
				client := endpoint.NewEngines(endpoint.Options{})
				before := memoryBytes()
				for _, a := range addresses {
					if _, err := client.Load(context.Background(), a); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((memoryBytes()-before)/float64(engines), "B/engine")
				client.Close()
			}
		})
	}
}

// standin starts an engine and returns its address.
func standin(b *testing.B) string {
	e := engine.New(engine.Options{Models: []fleet.ModelRef{{Model: "harvester-diagnosis", Adapter: "cane", Version: "1"}}, Slots: 64, CacheBlocks: 4096})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e.Handler()}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() {
		_ = server.Close()
		e.Kill()
	})
	return l.Addr().String()
}

// eventsAnswer is a page of events as an engine sends it.
func eventsAnswer(events int) []byte {
	page := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}, Next: 123_456}
	for i := range events {
		page.Events = append(page.Events, engineapi.CacheEvent{Seq: uint64(120_000 + i), Stored: i%2 == 0, Hash: uint64(i+1) * 0x9e3779b97f4a7c15})
	}
	return jsonAnswer(page)
}
