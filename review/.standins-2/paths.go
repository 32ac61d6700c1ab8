package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["paths"] = paths }

// paths: all front machines of the zone are partitioned from all engines for 3 s, three times. Their channels to
// engines live on while new ones are refused. The streams have neither a length nor chunks.
func paths(f *fleet, rec *record) bool {
	const (
		engines    = 10
		events     = 64
		eventPause = 50 * time.Millisecond
		cutTime    = 3 * time.Second
		rounds     = 3
	)
	var sentMu sync.Mutex
	wrote := map[string]bool{} // by attempt, whether its engine has written the whole stream and closed in order
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		rec.add("run      %s at %s", id, e.id)
		whole := stream(c, id, events, eventPause)
		sentMu.Lock()
		wrote[id] = whole
		sentMu.Unlock()
		rec.add("ended    %s at %s, whole: %v", id, e.id, whole)
		return false
	}
	links := make([]*link, engines)
	for i := range links {
		links[i] = newLink()
		f.addEngineBehind(links[i], fmt.Sprintf("i-taller-%02d", i), "cyclamen-taller", 48, serve)
	}
	f.configure(1, []map[string]any{
		route("falla", "/falla/", "streaming", "cyclamen-taller", 1, 12000, map[string]any{"stream_resume": false, "gap_target_ms": 500, "target_latency_ms": 500, "priority": 0, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	var wg sync.WaitGroup
	var whole, lost, cut, refused, other atomic.Int64
	stop := make(chan struct{})
	for n := 0; n < 60; n++ {
		d := f.daemons[n%2]
		wg.Go(func() {
			k := &consumer{address: d.callers()}
			defer k.close()
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				rec.add("sent     %s to %s", id, d.name)
				status, got, err := k.stream(id, "/falla/2f")
				sentMu.Lock()
				sentWhole := wrote[id]
				sentMu.Unlock()
				switch {
				case err == nil && status == 200 && got == events:
					whole.Add(1)
					rec.add("answered %s: whole", id)
				case status == 200 && sentWhole:
					lost.Add(1)
					rec.add("LOST     %s: %d of %d events, then the channel is closed: %v", id, got, events, err)
				case status == 200:
					cut.Add(1)
					rec.add("answered %s: %d of %d events, then %v; its engine hadn't sent all", id, got, events, err)
				case status == 503 || status == 429:
					refused.Add(1)
					rec.add("answered %s: %d", id, status)
				default:
					other.Add(1)
					rec.add("answered %s: %d, %v", id, status, err)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	for range rounds {
		if trouble() {
			rec.add("cut      new channels to all engines are refused")
			for _, k := range links {
				k.refuse()
			}
			time.Sleep(cutTime)
			for _, k := range links {
				k.admit()
			}
			rec.add("heal     new channels are accepted")
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.note("streams: %d whole, %d cut off though their engine had sent all of it, %d cut off before, %d refused, %d others", whole.Load(), lost.Load(), cut.Load(), refused.Load(), other.Load())
	if whole.Load() < 100 {
		cannotRun("only %d whole answers", whole.Load())
	}
	return lost.Load() > 3
}
