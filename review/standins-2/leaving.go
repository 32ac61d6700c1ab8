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

func init() { cases["leaving"] = leaving }

// leavingEngine is an engine whose answers end with their channel.
type leavingEngine struct {
	*engine
	mu      sync.Mutex
	running int
	last    string // the attempt whose answer ended last
	idle    chan struct{}
}

// leaving: the engines of a service are replaced one after the other. A leaving engine reports draining, goes on
// serving for drain_ms and a little longer, ends what it runs, and exits.
func leaving(f *fleet, rec *record) bool {
	const (
		engines, replaced = 18, 9 // share .5 of them, one at a time
		drain             = 2 * time.Second
		events            = 64
		eventPause        = 50 * time.Millisecond
	)
	all := map[string]*leavingEngine{}
	var allMu sync.Mutex
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		allMu.Lock()
		l := all[e.id]
		allMu.Unlock()
		id := r.Header.Get("X-Attempt-Id")
		l.mu.Lock()
		l.running++
		l.mu.Unlock()
		rec.add("run      %s at %s", id, e.id)
		whole := stream(c, id, events, eventPause)
		_ = c.Close() // the end of the answer
		rec.add("ended    %s at %s, whole: %v", id, e.id, whole)
		l.mu.Lock()
		l.running--
		l.last = id
		if l.running == 0 {
			select {
			case l.idle <- struct{}{}:
			default:
			}
		}
		l.mu.Unlock()
		return false
	}
	add := func(n int) *leavingEngine {
		l := &leavingEngine{idle: make(chan struct{}, 1)}
		id := fmt.Sprintf("i-taller-%02d", n)
		allMu.Lock()
		all[id] = l
		l.engine = f.addEngine(id, "cyclamen-taller", 48, serve)
		allMu.Unlock()
		return l
	}
	for i := 0; i < engines; i++ {
		add(i)
	}
	f.configure(1, []map[string]any{
		route("falla", "/falla/", "streaming", "cyclamen-taller", 1, 12000, map[string]any{"stream_resume": false, "gap_target_ms": 500, "target_latency_ms": 500, "priority": 0, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	var wg sync.WaitGroup
	var sent, whole, cut, refused, other atomic.Int64
	stop := make(chan struct{})
	// Each consumer keeps its channel for its requests.
	for n := 0; n < 96; n++ {
		d := f.daemons[n%2]
		wg.Go(func() {
			k := &consumer{address: d.callers()}
			defer k.close()
			time.Sleep(time.Duration(n) * 33 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				sent.Add(1)
				rec.add("sent     %s to %s", id, d.name)
				status, got, err := k.stream(id, "/falla/2f")
				switch {
				case err == nil && status == 200 && got == events:
					whole.Add(1)
					rec.add("answered %s: whole", id)
				case status == 200:
					cut.Add(1)
					rec.add("LOST     %s: %d of %d events, then the channel is closed: %v", id, got, events, err)
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
	time.Sleep(4 * time.Second)
	var leave sync.WaitGroup
	for i := 0; i < replaced; i++ {
		if trouble() {
			add(engines + i)
			time.Sleep(time.Second)
			allMu.Lock()
			old := all[fmt.Sprintf("i-taller-%02d", i)]
			allMu.Unlock()
			leave.Go(func() { old.leave(f, rec, drain+300*time.Millisecond) })
		}
		time.Sleep(2 * time.Second)
	}
	leave.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	rec.note("%d streams sent: %d whole, %d cut off though their engine had sent all of it, %d refused, %d others", sent.Load(), whole.Load(), cut.Load(), refused.Load(), other.Load())
	if whole.Load() < 100 {
		cannotRun("only %d whole answers", whole.Load())
	}
	return cut.Load() > 3
}

// leave ends an engine as planned: it reports draining, goes on serving for least, and exits once it runs nothing.
func (l *leavingEngine) leave(f *fleet, rec *record, least time.Duration) {
	f.setDraining(l.engine)
	rec.add("engine   %s reports draining", l.id)
	time.Sleep(least)
	l.mu.Lock()
	for l.running > 0 {
		l.mu.Unlock()
		<-l.idle
		l.mu.Lock()
	}
	last := l.last
	l.mu.Unlock()
	l.exit()
	f.removeEngine(l.engine)
	rec.add("engine   %s has exited; its last answer was %s", l.id, last)
}

// stream writes a stream of events that has neither a length nor chunks. It reports whether all was written.
func stream(c net.Conn, id string, events int, pause time.Duration) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
	for i := 1; i <= events && err == nil; i++ {
		time.Sleep(pause)
		_, err = fmt.Fprintf(c, "id: %d\ndata: %032d\n\n", i, i)
	}
	return err == nil
}

// consumer keeps one channel.
type consumer struct {
	address string
	c       net.Conn
	in      *bufio.Reader
}

func (k *consumer) close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

// stream sends a request of a stream and reads its answer.
func (k *consumer) stream(id, path string) (status, events int, err error) {
	if k.c == nil {
		if k.c, err = net.DialTimeout("tcp", k.address, time.Second); err != nil {
			k.c = nil
			time.Sleep(200 * time.Millisecond)
			return 0, 0, err
		}
		k.in = bufio.NewReader(k.c)
	}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	body := `{"prompt":"Fault code 41 on the topper"}`
	_ = k.c.SetDeadline(time.Now().Add(13 * time.Second))
	_, err = fmt.Fprintf(k.c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 700,384\r\nX-Prompt-Prefix: 5c1e07a2:119,%x:79,%x:502\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, 0x910000+rand.IntN(266), rand.Uint32(), key, len(body), body)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if err == io.EOF {
			if resp.Close {
				k.close()
			}
			if resp.StatusCode == 503 {
				time.Sleep(300 * time.Millisecond)
			}
			return resp.StatusCode, events, nil
		}
		if err != nil {
			return resp.StatusCode, events, err
		}
	}
}
