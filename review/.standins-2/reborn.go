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

func init() { cases["reborn"] = reborn }

// reborn: one of ten engines is partitioned from all machines for 3 s, crashes behind the cut and starts again at its
// address, as a new lifetime with a new id. The streams that it ran have neither a length nor chunks.
func reborn(f *fleet, rec *record) bool {
	const (
		engines    = 10
		events     = 64
		eventPause = 50 * time.Millisecond
		cutTime    = 3 * time.Second
		crashAfter = 300 * time.Millisecond
		downTime   = 2 * time.Second
		rounds     = 4
	)
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		rec.add("run      %s at %s", id, e.id)
		whole := stream(c, id, events, eventPause)
		rec.add("ended    %s at %s, whole: %v", id, e.id, whole)
		return false
	}
	links := make([]*link, engines)
	running := make([]*engine, engines)
	lifetime := 0
	begin := func(i int) {
		lifetime++
		running[i] = f.addEngineBehind(links[i], fmt.Sprintf("i-%02d-life-%d", i, lifetime), "cyclamen-taller", 48, serve)
	}
	for i := range links {
		links[i] = newLink()
		begin(i)
	}
	f.configure(1, []map[string]any{
		route("falla", "/falla/", "streaming", "cyclamen-taller", 1, 12000, map[string]any{"stream_resume": false, "gap_target_ms": 500, "target_latency_ms": 500, "priority": 0, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	var wg sync.WaitGroup
	var whole, cut, short, refused, other atomic.Int64
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
				switch {
				case err == nil && status == 200 && got == events:
					whole.Add(1)
					rec.add("answered %s: whole", id)
				case err == nil && status == 200:
					short.Add(1)
					rec.add("ORDER    %s: ends as complete after %d of %d events", id, got, events)
				case status == 200:
					cut.Add(1)
					rec.add("answered %s: %d of %d events, then the channel is closed: %v", id, got, events, err)
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
	for i := 0; i < rounds; i++ {
		if trouble() {
			old := running[i]
			links[i].cut()
			rec.add("cut      %s is partitioned from all machines", old.id)
			time.Sleep(crashAfter)
			f.crash(old)
			rec.add("crash    %s", old.id)
			time.AfterFunc(3*heartbeat, func() { f.removeEngine(old) }) // its entry expires
			time.Sleep(downTime)
			begin(i)
			rec.add("start    %s at the same address", running[i].id)
			time.Sleep(cutTime - crashAfter - downTime)
			links[i].heal()
			rec.add("heal     %s is reached again", running[i].id)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.note("streams: %d whole, %d that end as complete before their last event, %d cut off, %d refused, %d others", whole.Load(), short.Load(), cut.Load(), refused.Load(), other.Load())
	if whole.Load() < 100 {
		cannotRun("only %d whole answers", whole.Load())
	}
	return short.Load() > 0
}
