package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["again"] = again }

// again: some engines are partitioned from the store for 4 s, not from the front machines. They crash behind the cut
// and start again a second later, under the id and at the address that they had. Their old entries expire; the new ones
// reach the store when the cut heals.
func again(f *fleet, rec *record) bool {
	const (
		engines    = 15
		events     = 64
		eventPause = 50 * time.Millisecond
		rounds     = 5
		slots      = 6
	)
	cutOff := 3 // share .2 of them
	cutTime, crashAfter, downTime := 4*time.Second, 200*time.Millisecond, time.Second
	if os.Getenv("CUT") == "0" { // a crash alone: the engine is back after 2 s, and writes its entry with its next heartbeat
		cutOff, cutTime, crashAfter, downTime = 2, 3*time.Second, 0, 2*time.Second
	}
	var runMu sync.Mutex
	ranAt := map[string]*lifetime{} // by attempt
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		l := &lifetime{engine: e, number: e.life.Load()}
		runMu.Lock()
		ranAt[id] = l
		runMu.Unlock()
		slots := e.places()
		slots <- struct{}{} // others wait
		defer func() { <-slots }()
		rec.add("run      %s at %s, lifetime %d", id, e.id, l.number)
		err := chunkedStream(c, id, events, eventPause)
		rec.add("ended    %s at %s, lifetime %d: %v", id, e.id, l.number, err)
		return err == nil
	}
	all := make([]*engine, engines)
	for i := range all {
		all[i] = f.addEngine(fmt.Sprintf("i-taller-%02d", i), "cyclamen-taller", slots, serve)
	}
	f.configure(1, []map[string]any{
		route("falla", "/falla/", "streaming", "cyclamen-taller", 1, 12000, map[string]any{"stream_resume": false, "gap_target_ms": 500, "target_latency_ms": 500, "priority": 0, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": slots, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	var wg sync.WaitGroup
	var whole, lost, crash, refused, other atomic.Int64
	stop := make(chan struct{})
	for n := 0; n < 90; n++ {
		d := f.daemons[n%2]
		wg.Go(func() {
			k := &consumer{address: d.callers()}
			defer k.close()
			time.Sleep(time.Duration(n) * 38 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				rec.add("sent     %s to %s", id, d.name)
				status, got, err := k.stream(id, "/falla/2f")
				runMu.Lock()
				l := ranAt[id]
				runMu.Unlock()
				switch {
				case err == nil && status == 200 && got == events:
					whole.Add(1)
					rec.add("answered %s: whole", id)
				case l != nil && l.sound():
					lost.Add(1)
					rec.add("LOST     %s: %d, %d of %d events, then %v; %s runs on in lifetime %d", id, status, got, events, err, l.engine.id, l.number)
				case l != nil:
					crash.Add(1)
					rec.add("answered %s: %d, %d of %d events, then %v; its engine has crashed", id, status, got, events, err)
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
	for i := range rounds {
		if trouble() {
			var cut []*engine
			for j := range cutOff {
				e := all[(i*cutOff+j)%engines]
				cut = append(cut, e)
				f.cutFromStore(e)
				rec.add("cut      %s is partitioned from the store", e.id)
			}
			time.Sleep(crashAfter)
			for _, e := range cut {
				f.crash(e)
				rec.add("crash    %s", e.id)
			}
			time.Sleep(downTime)
			for _, e := range cut {
				f.startAgain(e)
				rec.add("start    %s, lifetime %d", e.id, e.life.Load())
			}
			time.Sleep(cutTime - crashAfter - downTime)
			for _, e := range cut {
				f.beat(e)
				rec.add("heal     the store has the entry of %s, lifetime %d", e.id, e.life.Load())
			}
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.note("streams: %d whole, %d cut off though their engine ran on, %d cut off by a crash, %d refused, %d others", whole.Load(), lost.Load(), crash.Load(), refused.Load(), other.Load())
	if whole.Load() < 100 {
		cannotRun("only %d whole answers", whole.Load())
	}
	return lost.Load() > 3
}

// lifetime is that of an engine which ran a request.
type lifetime struct {
	engine *engine
	number int64
}

// sound reports whether the lifetime goes on.
func (l *lifetime) sound() bool {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	return l.engine.life.Load() == l.number && !l.engine.down
}

// chunkedStream writes a stream of events in chunks.
func chunkedStream(c net.Conn, id string, events int, pause time.Duration) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := 1; i <= events && err == nil; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %032d\n\n", i, i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = fmt.Fprintf(c, "0\r\n\r\n")
	}
	return err
}

// cutFromStore stops an engine's heartbeats. Its entry expires after three of their intervals.
func (f *fleet) cutFromStore(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	time.AfterFunc(time.Until(e.lastBeat.Add(3*heartbeat)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.crashed {
			f.store.remove("servers", e.id)
		}
	})
}

// places returns the slots of an engine's lifetime.
func (e *engine) places() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = make(chan struct{}, e.slots)
	}
	return e.running
}

// startAgain starts a crashed engine under its id and at its address. Its entry stays the old one until beat.
func (f *fleet) startAgain(e *engine) {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e.mu.Lock()
	e.life.Add(1)
	e.born, e.listener, e.down, e.running = time.Now().UnixMilli(), l, false, nil
	e.mu.Unlock()
	e.sequence.Store(0)
	go e.accept(l)
}

// beat writes the entry of an engine that has started again, now and with each heartbeat.
func (f *fleet) beat(e *engine) {
	e.mu.Lock()
	e.crashed = false
	e.mu.Unlock()
	f.register(e)
	go func() {
		for f.register(e) {
			time.Sleep(heartbeat)
		}
	}()
}
