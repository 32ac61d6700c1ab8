package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["takeups"] = takeups }

// takeups: two software versions serve side by side. All daemons are killed at the same moment and start again, three
// times. Consumers take their streams up again.
func takeups(f *fleet, rec *record) bool {
	const (
		engines    = 4 // of each version
		events     = 64
		eventPause = 50 * time.Millisecond
		rounds     = 3
		downTime   = time.Second
		contact    = 3 * time.Second // contact_ms
		consumers  = 240
	)
	serve := func(e *engine, r *http.Request, _ []byte, c net.Conn) bool {
		id := r.Header.Get("X-Attempt-Id")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		rec.add("run      %s at %s, version %s, after event %d", id, e.id, e.version, from)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for i := from + 1; i <= events && err == nil; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s %032d\n\n", i, e.version, i)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(eventPause)
		}
		if err == nil {
			_, err = fmt.Fprintf(c, "0\r\n\r\n")
		}
		return err == nil
	}
	for i := range 2 * engines {
		e := f.addEngine(fmt.Sprintf("i-taller-%02d", i), "cyclamen-taller", 48, serve)
		if i%2 == 1 {
			e.upgrade()
			f.register(e)
		}
	}
	f.configure(1, []map[string]any{
		route("diag", "/diag/", "streaming", "cyclamen-taller", 2, 15000, map[string]any{"stream_resume": true, "gap_target_ms": 500, "target_latency_ms": 800, "priority": 1, "session_affinity": true}),
	}, []map[string]any{{"name": "cyclamen-taller", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity": 729812, "kv_token_bytes": 18432, "link_mbps": 180000.0}}}, nil)
	f.start(2)
	f.awaitReady()
	time.Sleep(2 * time.Second)
	var inTouchFrom atomic.Int64 // Unix ns
	inTouch := func() bool { return time.Now().UnixNano() >= inTouchFrom.Load() }
	var takenUp, wentOn, begun, began, early, earlyOn, mixed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range consumers {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3200)) * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				first, last, by := "", 0, ""
				end := time.Now().Add(15 * time.Second)
				wait := 500 * time.Millisecond
				for try := 0; try < 6 && time.Now().Before(end); try++ {
					id := fmt.Sprintf("%016x", rand.Uint64())
					d := f.daemons[(n+try)%2]
					touch := inTouch()
					up := first != ""
					rec.add("sent     %s to %s, resumes %q after %d, in touch: %v", id, d.name, first, last, touch)
					status, got, versions, whole, after := takeUp(d.callers(), id, first, last, time.Until(end))
					rec.add("answered %s: %d, %d events, %v, whole: %v", id, status, got, versions, whole)
					if status != 0 {
						switch {
						case up && touch:
							takenUp.Add(1)
							if got > 0 || whole {
								wentOn.Add(1)
							}
						case up:
							early.Add(1)
							if got > 0 || whole {
								earlyOn.Add(1)
							}
						case touch:
							begun.Add(1)
							if got > 0 {
								began.Add(1)
							}
						}
					}
					for _, v := range versions {
						if by != "" && v != by {
							mixed.Add(1)
							rec.add("ORDER    %s: %s after %s", id, v, by)
						}
						by = v
					}
					if got > 0 && first == "" {
						first = id
					}
					last += got
					if whole || first == "" && status != 0 {
						break
					}
					time.Sleep(max(wait, after))
					wait *= 2
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	for range rounds {
		if trouble() {
			inTouchFrom.Store(time.Now().Add(time.Hour).UnixNano())
			rec.add("kill     of all daemons")
			for _, d := range f.daemons {
				_ = d.cmd.Process.Signal(syscall.SIGKILL)
			}
			time.Sleep(downTime)
			for _, d := range f.daemons {
				<-d.done
				f.restart(d)
			}
			inTouchFrom.Store(time.Now().Add(contact).UnixNano())
			rec.add("start    of all daemons")
		}
		time.Sleep(14 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.note("at machines in touch: %d streams taken up, of which %d went on; %d new ones, of which %d began; within contact_ms of the start: %d taken up, %d went on; %d mixed",
		takenUp.Load(), wentOn.Load(), begun.Load(), began.Load(), early.Load(), earlyOn.Load(), mixed.Load())
	if began.Load() < 50 {
		cannotRun("only %d streams began", began.Load())
	}
	share := float64(wentOn.Load()) / float64(max(takenUp.Load(), 1))
	return takenUp.Load() >= 12 && share < 0.5*float64(began.Load())/float64(begun.Load())
}

// takeUp sends a request of a stream, which goes on after an event where first is set. status is 0 if the request
// wasn't answered.
func takeUp(address, id, first string, last int, left time.Duration) (status, got int, versions []string, whole bool, after time.Duration) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, nil, false, 0
	}
	defer c.Close()
	body := `{"prompt":"41"}`
	more := ""
	if first != "" {
		more = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", first, last)
	}
	_ = c.SetDeadline(time.Now().Add(left))
	if _, err = fmt.Fprintf(c, "POST /diag/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: 700,384\r\nX-Prompt-Prefix: 5c1e07a2:119,%x:79,%x:502\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		host, id, 0x910000+rand.IntN(266), rand.Uint32(), left.Milliseconds(), key, more, len(body), body); err != nil {
		return 0, 0, nil, false, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, nil, false, 0
	}
	defer resp.Body.Close()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok && resp.StatusCode == 200 && err == nil {
			got++
			if v, _, _ := strings.Cut(data, " "); len(versions) == 0 || versions[len(versions)-1] != v {
				versions = append(versions, v)
			}
		}
		if err != nil {
			return resp.StatusCode, got, versions, err == io.EOF && resp.StatusCode == 200, after
		}
	}
}

// restart starts a daemon's process again; it isn't the first start of the system.
func (f *fleet) restart(d *daemon) {
	path := filepath.Join(f.dir, d.name+".yaml")
	text, err := os.ReadFile(path)
	if err != nil {
		cannotRun("settings: %v", err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), "firstStart: true", "firstStart: false", 1)), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command("target/cyclamenbeam", "serve", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("daemon: %v", err)
	}
	done := make(chan struct{})
	started.Lock()
	d.cmd, d.done = cmd, done
	started.Unlock()
	d.ended.Store(false)
	go func() {
		_ = cmd.Wait()
		d.ended.Store(true)
		close(done)
	}()
}
