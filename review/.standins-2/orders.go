package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["orders"] = orders }

// orders: consumers send orders, which must run once at most, and half of the engines lose the answers of 3 in
// 100 of what they ran. Three orders of four name a URL in their query.
func orders(f *fleet, rec *record) bool {
	const lostShare = 0.03 // of the requests, at half of the engines
	var mu sync.Mutex
	runs := map[string]int{}
	losing := map[string]bool{}
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		time.Sleep(15 * time.Millisecond)
		mu.Lock()
		runs[id]++
		lose := trouble() && losing[e.id] && rand.Float64() < lostShare
		mu.Unlock()
		rec.add("run      %s at %s: %s %s, answer lost: %v", id, e.id, r.Method, r.RequestURI, lose)
		if lose {
			return false // the channel is closed
		}
		return success(r, c, "done "+id)
	}
	for i := 0; i < 4; i++ {
		id := fmt.Sprintf("i-mostrador-%d", i)
		losing[id] = i < 2
		f.addEngine(id, "mostrador-app", 6, serve)
	}
	f.configure(1, []map[string]any{
		route("pedidos", "/pedidos/", "non_idempotent", "mostrador-app", 1, 1500, nil),
		route("estado", "/estado/", "idempotent", "mostrador-app", 2, 1500, nil),
	}, []map[string]any{{"name": "mostrador-app", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}}, nil)
	f.start(2)
	f.awaitReady()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	const total = 2000
	for n := 0; n < total; n++ {
		target := "/pedidos/nuevo"
		if n%4 != 0 {
			target += "?volver=http://" + host + "/estado/77"
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		if n%4 != 0 {
			id = "url-" + id
		}
		wg.Go(func() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[n%2].callers()+target, strings.NewReader(`{"part":"PN-1180","quantity":2}`))
			r.Host = host
			r.Header.Set("X-Attempt-Id", id)
			r.Header.Set("X-Deadline-Ms", "1500")
			r.Header.Set("Authorization", "Bearer "+key)
			rec.add("sent     %s to %s: POST %s", id, f.daemons[n%2].name, target)
			resp, err := client.Do(r)
			if err != nil {
				rec.add("answered %s: %v", id, err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			rec.add("answered %s: %d", id, resp.StatusCode)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	twice := map[bool]int{}
	for id, n := range runs {
		if n > 1 {
			rec.add("TWICE    %s ran %d times", id, n)
			twice[strings.HasPrefix(id, "url-")]++
		}
	}
	rec.note("%d orders sent, %d run; run more than once: %d of those with a URL in the query, %d of the others", total, len(runs), twice[true], twice[false])
	if len(runs) < total/2 {
		cannotRun("only %d of %d orders were run", len(runs), total)
	}
	return twice[true]+twice[false] > 0
}
