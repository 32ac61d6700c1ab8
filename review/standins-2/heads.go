package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = heads }

// headField returns the n-th of many different short fields of a head.
func headField(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := []byte{letters[n%26], letters[n/26%36], letters[n/26/36%36], ':', '\r', '\n'}
	if n >= 26*36*36 {
		b = append([]byte{'q'}, b...)
	}
	return string(b)
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// heads: half of the engines answer with a head that has no end: very many short fields, and then a field now and
// then, until the daemon closes.
func heads(f *fleet, rec *record) bool {
	engines, rate, seconds := envInt("ENGINES", 18), envInt("RATE", 134), envInt("SECONDS", 20)
	daemons := envInt("DAEMONS", 2)
	var endless, sound atomic.Int64
	serve := func(faulty bool) func(*engine, *http.Request, []byte, net.Conn) bool {
		return func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
			id := r.Header.Get("X-Attempt-Id")
			if faulty && trouble() {
				endless.Add(1)
				rec.add("endless  %s at %s", id, e.id)
				w := bufio.NewWriterSize(c, 8192)
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n")
				n := 0
				for sent := 0; sent < 60000; n++ {
					s, _ := w.WriteString(headField(n))
					sent += s
				}
				for w.Flush() == nil {
					time.Sleep(500 * time.Millisecond)
					n++
					_, _ = w.WriteString(headField(n))
				}
				return false
			}
			sound.Add(1)
			rec.add("run      %s at %s", id, e.id)
			h := http.Header{"X-Attempt-Id": {id}, "X-Response-Signature": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Type": {"text/event-stream"}, "X-Weight-Versions": {"1"}}
			var b strings.Builder
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n")
			_ = h.Write(&b)
			b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			if _, err := c.Write([]byte(b.String())); err != nil {
				return false
			}
			time.Sleep(60 * time.Millisecond)
			for i := 1; i <= 20; i++ {
				ev := fmt.Sprintf("id: %d\ndata: %032d\n\n", i, i)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
					return false
				}
				time.Sleep(20 * time.Millisecond)
			}
			_, err := c.Write([]byte("0\r\n\r\n"))
			return err == nil
		}
	}
	for i := 0; i < engines; i++ {
		f.addEngine(fmt.Sprintf("i-taller-%02d", i), "cyclamen-taller", 48, serve(i%2 == 0))
	}
	f.configure(1, []map[string]any{
		route("diag", "/diag/", "streaming", "cyclamen-taller", 2, 15000, map[string]any{"stream_resume": true, "gap_target_ms": 500, "target_latency_ms": 800, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(daemons)
	f.awaitReady()
	time.Sleep(3 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var wg sync.WaitGroup
	var full, other atomic.Int64
	peak := make([]int, daemons)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				for i, d := range f.daemons {
					_, now := d.memory()
					if now > peak[i] {
						peak[i] = now
						rec.add("memory   %s: %d MB", d.name, now)
					}
				}
			}
		}
	}()
	begin := time.Now()
	for n := 0; time.Since(begin) < time.Duration(seconds)*time.Second; n++ {
		d := f.daemons[n%daemons]
		wg.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			r, _ := http.NewRequest(http.MethodPost, "http://"+d.callers()+"/diag/x", strings.NewReader(`{"prompt":"41"}`))
			r.Host = host
			r.Header.Set("X-Attempt-Id", id)
			r.Header.Set("X-Deadline-Ms", "15000")
			r.Header.Set("X-Model", "m")
			r.Header.Set("X-Token-Count", "600,120")
			r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,%x:500", rand.Uint32()))
			r.Header.Set("Authorization", "Bearer "+key)
			rec.add("sent     %s to %s", id, d.name)
			// A consumer abandons a stream after a gap of 4 s: two seconds, four times the objective (800 ms)
			// or eight times the pause (500 ms), whichever is longest.
			gone := make(chan struct{})
			idle := time.AfterFunc(4*time.Second, func() { close(gone) })
			defer idle.Stop()
			ctxClient(client, r, gone, func(resp *http.Response, err error) {
				if err != nil {
					other.Add(1)
					rec.add("answered %s: %v", id, err)
					return
				}
				body := bufio.NewReader(resp.Body)
				events := 0
				for {
					line, err := body.ReadString('\n')
					if strings.HasPrefix(line, "data:") {
						events++
						idle.Reset(4 * time.Second)
					}
					if err == io.EOF && resp.StatusCode == 200 && events == 20 {
						full.Add(1)
						rec.add("answered %s: whole", id)
						return
					}
					if err != nil {
						other.Add(1)
						rec.add("answered %s: %d, %d events, %v", id, resp.StatusCode, events, err)
						return
					}
				}
			})
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	close(stop)
	broken := false
	for i, d := range f.daemons {
		hwm, _ := d.memory()
		peak[i] = max(peak[i], hwm)
		rec.note("%s: at most %d MB of %d MB, ended: %v", d.name, peak[i], memoryMB, d.ended.Load())
		broken = broken || peak[i] > memoryMB || d.ended.Load()
	}
	rec.note("%d whole answers, %d others; engines: %d run, %d answered without end", full.Load(), other.Load(), sound.Load(), endless.Load())
	if full.Load() == 0 {
		cannotRun("no request was served")
	}
	return broken
}
