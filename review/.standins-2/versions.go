package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["versions"] = versions }

// versions: in a quiet moment one of eight engines is partitioned from the store for 5 s, not from the front machines.
// It crashes behind the cut and starts again a second later, with its id and address, and with the next version of its
// software. Then streams come, and the engine falls silent once for a second or so, and goes on.
func versions(f *fleet, rec *record) bool {
	const (
		engines    = 8
		events     = 64
		eventPause = 50 * time.Millisecond
		cutTime    = 5 * time.Second
		crashAfter = 100 * time.Millisecond
		downTime   = time.Second
		silence    = 1600 * time.Millisecond
		streams    = 80
		rounds     = 3
	)
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		from := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
		version := e.softwareVersion()
		rec.add("run      %s at %s, version %s, after event %d", id, e.id, version, from)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for i := from + 1; i <= events && err == nil; i++ {
			time.Sleep(eventPause)
			time.Sleep(time.Until(e.silentUntil()))
			event := fmt.Sprintf("id: %d\ndata: %s %032d\n\n", i, version, i)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = fmt.Fprintf(c, "0\r\n\r\n")
		}
		return err == nil
	}
	all := make([]*engine, engines)
	for i := range all {
		all[i] = f.addEngine(fmt.Sprintf("i-taller-%02d", i), "cyclamen-taller", 48, serve)
	}
	f.configure(1, []map[string]any{
		route("diag", "/diag/", "streaming", "cyclamen-taller", 2, 15000, map[string]any{"stream_resume": true, "gap_target_ms": 500, "target_latency_ms": 800, "priority": 1, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	time.Sleep(4 * time.Second)
	var whole, mixed, other atomic.Int64
	for i := range rounds {
		e := all[i]
		if trouble() {
			f.cutFromStore(e)
			rec.add("cut      %s is partitioned from the store", e.id)
			time.Sleep(crashAfter)
			f.crash(e)
			rec.add("crash    %s", e.id)
			time.Sleep(downTime)
			e.upgrade()
			f.startAgain(e)
			rec.add("start    %s, version %s", e.id, e.softwareVersion())
		} else {
			time.Sleep(crashAfter + downTime)
		}
		begin := time.Now()
		var wg sync.WaitGroup
		for n := range streams {
			d := f.daemons[n%2]
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 4 * time.Millisecond)
				id := fmt.Sprintf("%016x", rand.Uint64())
				rec.add("sent     %s to %s", id, d.name)
				status, got, by, err := versionedStream(d.callers(), id)
				switch {
				case len(by) > 1:
					mixed.Add(1)
					rec.add("ORDER    %s: %d of %d events, of the versions %v", id, got, events, by)
				case err == nil && status == 200 && got == events:
					whole.Add(1)
					rec.add("answered %s: whole, %v", id, by)
				default:
					other.Add(1)
					rec.add("answered %s: %d, %d events of %v, %v", id, status, got, by, err)
				}
			})
		}
		time.Sleep(900 * time.Millisecond)
		e.fallSilent(silence)
		rec.add("silent   %s", e.id)
		time.Sleep(cutTime - crashAfter - downTime - time.Since(begin))
		if trouble() {
			f.beat(e)
			rec.add("heal     the store has the entry of %s", e.id)
		}
		wg.Wait()
		time.Sleep(8 * time.Second)
	}
	rec.note("streams: %d whole, %d with events of two versions, %d others", whole.Load(), mixed.Load(), other.Load())
	if whole.Load() < 50 {
		cannotRun("only %d whole answers", whole.Load())
	}
	return mixed.Load() > 2
}

// versionedStream sends a request of a stream and returns the versions whose engines wrote its events.
func versionedStream(address, id string) (status, events int, by []string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, nil, err
	}
	defer c.Close()
	body := `{"prompt":"Fault code 41 on the topper"}`
	_ = c.SetDeadline(time.Now().Add(16 * time.Second))
	_, err = fmt.Fprintf(c, "POST /diag/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 700,384\r\nX-Prompt-Prefix: 5c1e07a2:119,%x:79,%x:502\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, 0x910000+rand.IntN(266), rand.Uint32(), key, len(body), body)
	if err != nil {
		return 0, 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, nil, err
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok && resp.StatusCode == 200 {
			events++
			if v, _, _ := strings.Cut(data, " "); len(by) == 0 || by[len(by)-1] != v {
				by = append(by, v)
			}
		}
		if err == io.EOF {
			return resp.StatusCode, events, by, nil
		}
		if err != nil {
			return resp.StatusCode, events, by, err
		}
	}
}

func (e *engine) softwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// upgrade gives an engine the next version of its software.
func (e *engine) upgrade() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = "r2"
}

func (e *engine) fallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = time.Now().Add(d)
}

func (e *engine) silentUntil() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}
