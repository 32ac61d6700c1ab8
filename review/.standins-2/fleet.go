package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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

const (
	host      = "taller.example"
	tenant    = "finca-uno"
	key       = "k-finca-uno-7711"
	memoryMB  = 284 // limits.memory_mb of a front machine (SYSTEM.md)
	maxFDs    = 4200
	heartbeat = 1200 * time.Millisecond
)

// record writes what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	f    *os.File
	t0   time.Time
	echo bool
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{f: f, t0: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.t0).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// note writes to the record and to standard output.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case couldn't run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// engine is a stand-in of a server of a service.
type engine struct {
	id, service, zone string
	slots             int
	born              int64
	address           string
	sequence          atomic.Int64
	listener          net.Listener
	// serve answers a request that this engine accepts, on its channel. It reports whether the channel
	// goes on.
	serve func(e *engine, r *http.Request, body []byte, c net.Conn) bool

	mu       sync.Mutex
	state    string
	gone     bool // its entry was removed
	crashed  bool // it writes no entry
	down     bool // its process has ended
	life     atomic.Int64
	lastBeat time.Time
	version  string // of its software
	running  chan struct{}
	silent   time.Time // it sends nothing until then
	channels map[net.Conn]bool
}

func (f *fleet) addEngine(id, service string, slots int, serve func(*engine, *http.Request, []byte, net.Conn) bool) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e := &engine{id: id, service: service, zone: "palmira", slots: slots, born: time.Now().UnixMilli(), address: l.Addr().String(), listener: l, serve: serve, state: "ready", version: "r1", channels: map[net.Conn]bool{}}
	go e.accept(l)
	go func() {
		for f.register(e) {
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// addEngineBehind adds an engine whose address is that of a link.
func (f *fleet) addEngineBehind(k *link, id, service string, slots int, serve func(*engine, *http.Request, []byte, net.Conn) bool) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	k.lead(l.Addr().String())
	e := &engine{id: id, service: service, zone: "palmira", slots: slots, born: time.Now().UnixMilli(), address: k.address, listener: l, serve: serve, state: "ready", version: "r1", channels: map[net.Conn]bool{}}
	go e.accept(l)
	go func() {
		for f.register(e) {
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// crash ends an engine's process. Its entry stays until it expires.
func (f *fleet) crash(e *engine) {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	e.exit()
}

// removeEngine removes the entry of an engine that has left.
func (f *fleet) removeEngine(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	f.store.remove("servers", e.id)
}

// exit ends an engine's process: its listener and its channels close.
func (e *engine) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	_ = e.listener.Close()
	for c := range e.channels {
		_ = c.Close()
	}
}

// register writes an engine's entry. It reports false once the engine has left.
func (f *fleet) register(e *engine) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone || e.crashed {
		return false
	}
	e.lastBeat = time.Now()
	f.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
	return true
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.channel(c)
	}
}

func (e *engine) channel(c net.Conn) {
	defer c.Close()
	e.mu.Lock()
	e.channels[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.channels, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(r, body, c) {
			return
		}
	}
}

func (e *engine) answer(r *http.Request, body []byte, c net.Conn) bool {
	switch {
	case r.URL.Path == "/v1/report":
		return reply(c, 200, http.Header{"Content-Type": {"application/json"}}, []byte(fmt.Sprintf(
			`{"born":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":700000,"handles":0}`, e.born)))
	case r.URL.Path == "/health":
		return reply(c, 200, http.Header{"X-Instance-Id": {e.id}}, nil)
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		return reply(c, 421, http.Header{"X-Not-Executed": {"1"}, "X-Attempt-Id": {r.Header.Get("X-Attempt-Id")}}, nil)
	}
	return e.serve(e, r, body, c)
}

// reply writes an answer with a length.
func reply(c net.Conn, status int, h http.Header, body []byte) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	_, err := c.Write(append([]byte(b.String()), body...))
	return err == nil
}

// success answers a request as run.
func success(r *http.Request, c net.Conn, body string) bool {
	return reply(c, 200, http.Header{
		"X-Attempt-Id": {r.Header.Get("X-Attempt-Id")}, "X-Response-Signature": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Type": {"text/plain"},
	}, []byte(body))
}

// daemon is a process of the project.
type daemon struct {
	name, ip string
	ports    [7]int
	cmd      *exec.Cmd
	done     chan struct{}
	ended    atomic.Bool
}

func (d *daemon) at(i int) string { return net.JoinHostPort(d.ip, strconv.Itoa(d.ports[i])) }

func (d *daemon) callers() string   { return d.at(0) }
func (d *daemon) ready() string     { return d.at(1) }
func (d *daemon) directory() string { return d.at(2) }

// fleet is a small deployment.
type fleet struct {
	store   *store
	cloud   string
	dir     string
	daemons []*daemon
	rec     *record
}

var started struct {
	sync.Mutex
	all []*daemon
	dir string
}

// stopAll ends all processes that were started.
func stopAll() {
	started.Lock()
	defer started.Unlock()
	for _, d := range started.all {
		if !d.ended.Load() {
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	late := time.After(9 * time.Second)
	for _, d := range started.all {
		select {
		case <-d.done:
		case <-late:
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	if started.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(started.dir)
	}
}

// newFleet starts the platform's stand-ins.
func newFleet(rec *record) *fleet {
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	cloud, err := newCloud()
	if err != nil {
		cannotRun("cloud: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	started.dir = dir
	return &fleet{store: s, cloud: cloud, dir: dir, rec: rec}
}

// start starts n daemons, with settings as deploy/settings.yaml.tmpl gives them on vivo-talleres.
func (f *fleet) start(n int) {
	ports := freePorts(n)
	var seeds []string
	for i := 1; i <= min(n, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", loopback(i), ports[3])))
	}
	for i := 1; i <= n; i++ {
		d := &daemon{name: fmt.Sprintf("front-palmira-%d", i), ip: loopback(i), ports: ports, done: make(chan struct{})}
		settings := fmt.Sprintf(`daemon:
  instance: %q
  dataCentre: "palmira"
  region: "valle-cauca"
  firstStart: true
listen:
  callers: "%s"
  ready: "%s"
  directory: "%s"
  peers: "%s"
  forward: "%s"
  metrics: "%s"
seeds: [%s]
store:
  address: "%s"
cloud:
  address: "%s"
  duties: ["usage_report"]
limits:
  memoryMB: %d
  maxFDs: %d
  cores: 0.4
  linkMbps: 1000
bounds:
  graceSeconds: 8
  retryRatio: 0.2
  retryWindowSeconds: 10
  retrySlack: 52
  limitExcess: 140000
  limitExcessShare: 0.1
  limitWindowSeconds: 8
  usageWindowSeconds: 5
  leaseMillis: 3000
  answerMaxAgeSeconds: 5
  contactMillis: 3000
  changeMillis: 2000
log:
  level: info
`, d.name, d.callers(), d.ready(), d.directory(), d.at(4), d.at(5), d.at(6), strings.Join(seeds, ","), f.store.address, f.cloud, memoryMB, maxFDs)
		path := filepath.Join(f.dir, d.name+".yaml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		log, err := os.Create(filepath.Join(f.dir, d.name+".log"))
		if err != nil {
			cannotRun("log: %v", err)
		}
		d.cmd = exec.Command("target/cyclamenbeam", "serve", "--settings", path)
		d.cmd.Stdout, d.cmd.Stderr = log, log
		d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := d.cmd.Start(); err != nil {
			cannotRun("daemon: %v", err)
		}
		log.Close()
		go func() {
			_ = d.cmd.Wait()
			d.ended.Store(true)
			close(d.done)
		}()
		started.Lock()
		started.all = append(started.all, d)
		started.Unlock()
		f.daemons = append(f.daemons, d)
	}
}

// loopback returns the address of the i-th daemon. The network is of this process alone, so that two runs don't meet.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 10+i)
}

// freePorts returns ports that are free at the addresses of n daemons.
func freePorts(n int) [7]int {
	var out [7]int
	for try := 0; try < 50; try++ {
		var held []net.Listener
		ok := true
		for p := range out {
			l, err := net.Listen("tcp", loopback(1)+":0")
			if err != nil {
				cannotRun("ports: %v", err)
			}
			held = append(held, l)
			out[p] = l.Addr().(*net.TCPAddr).Port
			for i := 2; i <= n && ok; i++ {
				o, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback(i), out[p]))
				if err != nil {
					ok = false
					break
				}
				held = append(held, o)
			}
		}
		for _, l := range held {
			l.Close()
		}
		if ok {
			return out
		}
	}
	cannotRun("no free ports")
	return out
}

// awaitReady waits until all daemons are ready and list each other.
func (f *fleet) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range f.daemons {
		for {
			if time.Now().After(until) {
				cannotRun("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
			resp, err := client.Get("http://" + d.ready() + "/v1/ready")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode != 200 {
				continue
			}
			resp, err = client.Get("http://" + d.directory() + "/v1/resolve?name=" + host + "&region=valle-cauca&zone=palmira")
			if err != nil {
				continue
			}
			var a struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(resp.Body).Decode(&a)
			resp.Body.Close()
			if err == nil && len(a.Addresses) == len(f.daemons) {
				break
			}
		}
	}
}

// peakMB returns the most resident memory that a daemon's process has had, and what it has now.
func (d *daemon) memory() (peak, now int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmHWM:":
			peak = kb >> 10
		case "VmRSS:":
			now = kb >> 10
		}
	}
	return peak, now
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func route(name, prefix, kind, service string, attempts, timeoutMS int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": timeoutMS,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func (f *fleet) configure(version int, routes, services []map[string]any, limits map[string]any) {
	if limits == nil {
		limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}
	}
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": limits,
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}}},
	})
}
