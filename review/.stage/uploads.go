package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is just below max_body_bytes of the configuration.
	maxBodyBytes   = 4194304
	uploadBytes    = maxBodyBytes - 4096
	uploadWork     = 3 * time.Second
	uploadDeadline = 8 * time.Second
	// uploadUsers send a request each uploadCycle, on a kept channel.
	uploadUsers = 156
	uploadCycle = 3300 * time.Millisecond
	uploadFor   = 20 * time.Second
	// herdAt is when half of the daemons are killed, and herdDown how long they are down.
	herdAt   = 10 * time.Second
	herdDown = 2 * time.Second
	// memoryMB is the most memory of a process, which the platform kills above it.
	memoryMB = 284
)

// upload is one attempt of a consumer.
type upload struct {
	id, daemon string
	kept       bool // the channel had served a request before
	ended      time.Time
	answer     answer
}

// uploads collects the attempts, and what the platform has seen of the daemons' memory.
type uploads struct {
	stage *stage
	body  []byte

	mu     sync.Mutex
	all    []*upload
	peak   map[string]int64
	killed map[string]int // for their memory, by the address for callers
}

// playUploads has consumers send bodies of 4 MB, which a server works on for 3 s, while half of
// four daemons are killed once. The other two must go on.
func playUploads(s *stage, trouble bool) (bool, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "machine-logs", "host": host, "path_prefix": "/logs/", "route_type": "non_idempotent", "timeout_ms": uploadDeadline.Milliseconds(),
			"target_latency_ms": 5000, "priority": 1, "service": "archive", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "archive", "health_path": "/health", "max_connections": 290, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "dealer", "api_keys": []string{key}}},
	})
	var servers []*server
	for i := range 6 {
		v := &server{
			config:  serverConfig{id: fmt.Sprintf("i-archive-%d", i+1), work: uploadWork, bytes: 800},
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
	u := &uploads{stage: s, body: bytes.Repeat([]byte("machine log."), uploadBytes/12), peak: map[string]int64{}, killed: map[string]int{}}
	stop := make(chan struct{})
	var platform, users sync.WaitGroup
	for _, d := range s.daemons {
		platform.Go(func() { u.limitMemory(d, stop) })
	}
	herd := s.daemons[:2]
	if trouble {
		platform.Go(func() {
			time.Sleep(herdAt)
			s.killTogether(herd)
		})
	}
	began := time.Now()
	for i := range uploadUsers {
		users.Go(func() {
			time.Sleep(uploadCycle * time.Duration(i) / uploadUsers)
			u.user(i, began.Add(uploadFor))
		})
	}
	users.Wait()
	close(stop)
	platform.Wait()
	return u.check(servers, herd)
}

// killTogether kills daemons at once and starts them again.
func (s *stage) killTogether(all []*daemon) {
	for _, d := range all {
		s.record.say("%s is killed", d.name)
		d.process.signal(syscall.SIGKILL)
	}
	time.Sleep(herdDown)
	for _, d := range all {
		<-d.process.done
		if err := s.startDaemon(d); err != nil {
			s.record.say("%s was not started again: %v", d.name, err)
		}
	}
}

// limitMemory kills a daemon's process whose resident memory exceeds the limit, as the platform
// does, and starts it again. Bytes that were received and not read aren't counted here.
func (u *uploads) limitMemory(d *daemon, stop chan struct{}) {
	address := u.stage.callers(d)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		p := d.process
		mb := residentMB(p.cmd.Process.Pid)
		u.mu.Lock()
		u.peak[address] = max(u.peak[address], mb)
		u.mu.Unlock()
		if mb <= memoryMB {
			continue
		}
		u.mu.Lock()
		u.killed[address]++
		u.mu.Unlock()
		u.stage.record.say("%s has %d MB of %d and is killed by the platform", d.name, mb, memoryMB)
		p.signal(syscall.SIGKILL)
		<-p.done
		time.Sleep(restartDelay)
		if err := u.stage.startDaemon(d); err != nil {
			u.stage.record.say("%s was not started again: %v", d.name, err)
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb >> 10
}

// user sends one request after the other until a time, and each again once if a daemon answers
// that it has not run.
func (u *uploads) user(i int, until time.Time) {
	view := &directory{stage: u.stage, zone: zones[i%len(zones)], keep: 1}
	var ch *channel
	for n := 0; time.Now().Before(until); n++ {
		next := time.Now().Add(uploadCycle)
		failed := ""
		for try := range 2 {
			var a *upload
			a, ch = u.try(view, ch, fmt.Sprintf("u%03d-%d-%d", i, n, try), failed)
			if a == nil || a.answer.err != nil || a.answer.status != http.StatusServiceUnavailable && a.answer.status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(min(retryAfterOf(a.answer.header), uploadDeadline/3))
			if ch != nil { // a retry goes over a new channel
				_ = ch.c.Close()
				ch = nil
			}
			failed = a.daemon
		}
		time.Sleep(time.Until(next))
	}
	if ch != nil {
		_ = ch.c.Close()
	}
}

// retryAfterOf returns the time that an answer asks for.
func retryAfterOf(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// try makes one attempt, on the kept channel if its address is still listed. It returns the
// channel if it can be used again.
func (u *uploads) try(view *directory, ch *channel, id, except string) (*upload, *channel) {
	listed := view.current()
	if ch != nil && !slices.Contains(listed, ch.address) {
		_ = ch.c.Close()
		ch = nil
	}
	a := &upload{id: id, kept: ch != nil}
	for _, at := range rand.Perm(len(listed)) {
		if ch != nil {
			break
		}
		if listed[at] != except {
			ch, _ = openChannel(listed[at])
		}
	}
	if ch == nil {
		u.stage.record.write("no channel for %s", id)
		return nil, nil
	}
	a.daemon = ch.address
	u.stage.record.write("sent %s to %s, kept channel: %t", id, a.daemon, a.kept)
	a.answer = ch.send(http.MethodPost, "/logs/"+id, id, uploadDeadline, u.body)
	a.ended = time.Now()
	u.stage.record.write("answered %s: status %d, error %v", id, a.answer.status, a.answer.err)
	u.mu.Lock()
	u.all = append(u.all, a)
	u.mu.Unlock()
	if a.answer.closed {
		_ = ch.c.Close()
		return a, nil
	}
	return a, ch
}

// check applies the rule LOST to the daemons that were not killed as the disruption.
func (u *uploads) check(servers []*server, herd []*daemon) (bool, error) {
	ran := map[string]bool{}
	for _, v := range servers {
		for _, line := range v.runs() {
			u.stage.record.write("%s %s", v.config.id, line)
			if f := strings.Fields(line); f[0] == "ran" {
				ran[f[1]] = true
			}
		}
	}
	served, failed, ended := 0, 0, 0
	lost := map[string]int{}
	for _, a := range u.all {
		switch {
		case a.answer.err == nil && a.answer.status == http.StatusOK:
			served++
			continue
		case a.answer.err == nil:
			failed++
			continue
		}
		ended++
		struck := slices.ContainsFunc(herd, func(d *daemon) bool { return u.stage.callers(d) == a.daemon })
		if !struck && a.kept && a.answer.status == 0 && ran[a.id] {
			lost[a.daemon]++
		}
	}
	broken := false
	for _, d := range u.stage.daemons {
		address := u.stage.callers(d)
		u.stage.record.say("%s: at most %d MB, killed %d times for its memory, %d requests of kept channels passed on and lost",
			d.name, u.peak[address], u.killed[address], lost[address])
		broken = broken || lost[address] > 3
	}
	u.stage.record.say("%d attempts served, %d refused or failed, %d ended without an answer", served, failed, ended)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return broken, nil
}
