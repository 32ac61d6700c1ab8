package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	walkEvents   = 60
	walkInterval = 50 * time.Millisecond
	walkDeadline = 15 * time.Second
	walkEvery    = 60 * time.Millisecond
	walkFor      = 14 * time.Second
	// minPause and maxPause bound how long a consumer waits until it takes up a stream that broke.
	minPause  = 100 * time.Millisecond
	maxPause  = 500 * time.Millisecond
	upgradeAt = 6 * time.Second
	// firstBeat is the time from a server's start to its first entry, the lag of the site's
	// discovery and below its heartbeat of 1.2 s.
	firstBeat = 800 * time.Millisecond
)

// walk is a stream of a consumer over its tries.
type walk struct {
	id       string
	last     int
	versions map[string]bool
	tries    int
	complete bool
}

// playTakenUp has consumers read streams that may be resumed from servers of two versions, side
// by side. The only one of version v1 crashes and starts again at once, under its id, at v2.
func playTakenUp(s *stage, trouble bool) (bool, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "walks", "host": host, "path_prefix": "/walks/", "route_type": "streaming", "timeout_ms": walkDeadline.Milliseconds(),
			"target_latency_ms": 800, "priority": 1, "service": "taller", "max_attempts": 2, "public": false,
			"session_affinity": true, "stream_resume": true, "gap_target_ms": 500,
		}},
		"services": []any{map[string]any{"name": "taller", "health_path": "/health", "max_connections": 290, "protocol": "h1",
			"engine": map[string]any{"slots": 48, "kv_capacity": 729812}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "dealer", "api_keys": []string{key}}},
	})
	var servers []*server
	for i := range 4 {
		v := &server{
			config:  serverConfig{id: fmt.Sprintf("i-taller-%d", i+1), version: "v2", events: walkEvents, interval: walkInterval},
			service: "taller", zone: zones[i%len(zones)],
		}
		if i == 0 {
			v.config.version = "v1"
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
	var upgrade sync.WaitGroup
	if trouble {
		upgrade.Go(func() { servers = append(servers, s.crashAndUpgrade(servers[0])) })
	}
	var walks []*walk
	var wg sync.WaitGroup
	users := make([]*directory, 24)
	for i := range users {
		users[i] = &directory{stage: s, zone: zones[i%len(zones)], keep: 1}
	}
	began := time.Now()
	for n := 0; time.Since(began) < walkFor; n++ {
		w := &walk{id: fmt.Sprintf("w%06d", n), versions: map[string]bool{}}
		walks = append(walks, w)
		wg.Go(func() { s.walk(users[n%len(users)], w) })
		time.Sleep(walkEvery)
	}
	wg.Wait()
	upgrade.Wait()
	for _, v := range servers {
		for _, line := range v.runs() {
			s.record.write("%s of %s: %s", v.config.id, v.config.version, line)
		}
	}
	mixed, complete, again := 0, 0, 0
	for _, w := range walks {
		if w.complete {
			complete++
		}
		if w.tries > 1 {
			again++
		}
		if len(w.versions) > 1 {
			mixed++
			s.record.say("%s has events of two versions, in %d tries; complete: %t", w.id, w.tries, w.complete)
		}
	}
	s.record.say("%d streams, %d complete, %d taken up, %d with events of two versions", len(walks), complete, again, mixed)
	if complete == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return mixed > 2, nil
}

// crashAndUpgrade kills a server and starts it again at its address and under its id, at version
// v2. Its entry is written by its first heartbeat.
func (s *stage) crashAndUpgrade(v *server) *server {
	time.Sleep(upgradeAt)
	s.record.say("server %s of version %s is killed", v.config.id, v.config.version)
	v.process.signal(syscall.SIGKILL)
	<-v.process.done
	again := &server{config: v.config, service: v.service, zone: v.zone, late: firstBeat}
	again.config.version, again.config.listen = "v2", v.address
	s.record.say("it starts again at version v2")
	if err := s.startServer(again); err != nil {
		s.record.say("it was not started again: %v", err)
	}
	s.record.say("its entry is written")
	return again
}

// walk reads a stream, and takes it up once if it breaks.
func (s *stage) walk(d *directory, w *walk) {
	for w.tries = 1; w.tries <= 2 && !w.complete; w.tries++ {
		if w.tries > 1 {
			time.Sleep(minPause + rand.N(maxPause-minPause))
		}
		id := w.id
		if w.tries > 1 {
			id += "-again"
		}
		all := d.current()
		if len(all) == 0 {
			continue
		}
		address := all[rand.IntN(len(all))]
		s.record.write("sent %s to %s after event %d", id, address, w.last)
		err := s.try(address, id, w)
		s.record.write("answered %s: up to event %d, versions %v, error %v", id, w.last, w.versions, err)
		w.complete = err == nil
	}
	w.tries--
}

// try makes one attempt, which adds its events to the stream.
func (s *stage) try(address, id string, w *walk) error {
	ch, err := openChannel(address)
	if err != nil {
		return err
	}
	defer ch.c.Close()
	_ = ch.c.SetDeadline(time.Now().Add(walkDeadline))
	head := fmt.Sprintf("POST /walks/one HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"X-Model: m\r\nX-Token-Count: 1460,360\r\nX-Prompt-Prefix: 5c1e07a2:800,%x:660\r\nContent-Length: 0\r\n",
		host, id, walkDeadline.Milliseconds(), key, len(w.id)*1000003+number(w.id[1:]))
	if w.last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", w.last, w.id)
	}
	if _, err := io.WriteString(ch.c, head+"\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(ch.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			n, _ := strconv.Atoi(value)
			if n != w.last+1 {
				s.record.say("%s: event %d after %d", id, n, w.last)
			}
			w.last = n
		case "data":
			w.versions[value[strings.LastIndexByte(value, ' ')+1:]] = true
		}
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	if w.last < walkEvents {
		return fmt.Errorf("ended after event %d", w.last)
	}
	return nil
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}
