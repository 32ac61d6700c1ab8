package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// documentBytes is the size of a document, which a server writes in documentTime.
	documentBytes = 3 << 20
	documentTime  = 2 * time.Second
	// documentEvery is the time between two requests of the consumers together.
	documentEvery = 25 * time.Millisecond
	joinedLength  = 18 * time.Second
	// joinedCrash is when a server crashes, for crashTime.
	joinedCrash = 11 * time.Second
	crashTime   = 4 * time.Second
	// lapse is three heartbeats, after which the entry of a silent server is removed.
	lapse = 3 * 1200 * time.Millisecond
)

// playJoined has consumers fetch documents of 3 MB by idempotent requests, while one of six
// servers crashes once. Each success must carry the whole document and nothing else.
func playJoined(s *stage, trouble bool) (bool, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "documents", "host": host, "path_prefix": "/documents/", "route_type": "idempotent", "timeout_ms": 10000,
			"target_latency_ms": 3000, "priority": 1, "service": "archive", "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "archive", "health_path": "/health", "max_connections": 290, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "dealer", "api_keys": []string{key}}},
	})
	var servers []*server
	for i := range 6 {
		v := &server{
			config:  serverConfig{id: fmt.Sprintf("i-archive-%d", i+1), work: 20 * time.Millisecond, bytes: documentBytes, over: documentTime},
			service: "archive", zone: zones[i%len(zones)],
		}
		if err := s.startServer(v); err != nil {
			return false, err
		}
		servers = append(servers, v)
	}
	if err := s.addDaemons(4); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var crash sync.WaitGroup
	if trouble {
		crash.Go(func() { s.crashOnce(servers[0]) })
	}
	var wg sync.WaitGroup
	var wrong, whole, failed atomic.Int64
	directories := make([]*directory, len(zones))
	for i := range directories {
		directories[i] = &directory{stage: s, zone: zones[i], keep: 1}
	}
	began := time.Now()
	for n := 0; time.Since(began) < joinedLength; n++ {
		d := directories[n%len(directories)]
		wg.Go(func() {
			id := fmt.Sprintf("d%06d", n)
			a := s.fetch(d, n, id)
			switch want := bodyOf(id, documentBytes); {
			case a.err != nil || a.status < 200 || a.status > 299:
				failed.Add(1)
			case a.header.Get("X-Response-Signature") == "" || !bytes.Equal(a.body, want):
				wrong.Add(1)
				s.record.say("%s: status %d, signature %q, complete, %d bytes; the server's whole body has %d; same up to byte %d, and the last %d bytes are the whole body: %t",
					id, a.status, a.header.Get("X-Response-Signature"), len(a.body), len(want), same(a.body, want), len(want), bytes.HasSuffix(a.body, want))
			default:
				whole.Add(1)
			}
		})
		time.Sleep(documentEvery)
	}
	wg.Wait()
	crash.Wait()
	for _, v := range servers {
		for _, line := range v.runs() {
			s.record.write("%s %s", v.config.id, line)
		}
	}
	s.record.say("%d whole documents, %d wrong ones as complete successes, %d failures", whole.Load(), wrong.Load(), failed.Load())
	if whole.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return wrong.Load() > 0, nil
}

// fetch makes one attempt for a document on a new channel.
func (s *stage) fetch(d *directory, n int, id string) answer {
	addresses := d.current()
	if len(addresses) == 0 {
		return answer{err: fmt.Errorf("no address")}
	}
	address := addresses[n/len(zones)%len(addresses)]
	ch, err := openChannel(address)
	if err != nil {
		return answer{err: err}
	}
	defer ch.c.Close()
	s.record.write("sent %s to %s", id, address)
	a := ch.send(http.MethodGet, "/documents/"+id, id, 10*time.Second, nil)
	s.record.write("answered %s: status %d, %d bytes, signature %q, error %v", id, a.status, len(a.body), a.header.Get("X-Response-Signature"), a.err)
	return a
}

// crashOnce kills a server's process, and starts it again, as a new one, after crashTime. The
// platform removes the entry of the old one when its heartbeats have lapsed.
func (s *stage) crashOnce(v *server) {
	time.Sleep(joinedCrash)
	s.record.say("server %s is killed", v.config.id)
	v.process.signal(syscall.SIGKILL)
	<-v.process.done
	time.Sleep(lapse)
	s.store.remove("servers", v.config.id)
	time.Sleep(crashTime - lapse)
	again := &server{config: v.config, service: v.service, zone: v.zone}
	again.config.id += "-again"
	if err := s.startServer(again); err != nil {
		s.record.say("server %s was not started again: %v", v.config.id, err)
	}
}

// same returns the number of equal bytes at the beginning of two texts.
func same(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
