package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployments on the users' pages.
const (
	graceSeconds = 8
	contact      = 3 * time.Second
	// answerAge is how long callers keep an answer of the directory at most, ttl_max_s.
	answerAge = 5 * time.Second
)

// stage is a small deployment: the platform's stand-ins in this process, daemons and
// servers as processes of their own, all at loopback addresses.
type stage struct {
	dir    string // temporary
	record *record
	store  *store

	storeAddress, cloudAddress string
	ports                      [6]int // callers, ready, directory, control, internal
	daemons                    []*daemon

	mu        sync.Mutex
	processes []*process
}

// process is a process that the stage has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// daemon is one entry machine, which runs one process at a time.
type daemon struct {
	name, ip, settings string
	starts             int
	process            *process
}

func newStage(rec *record) (*stage, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, record: rec, store: newStore()}
	if s.storeAddress, err = serve(s.store); err != nil {
		return nil, err
	}
	s.cloudAddress, err = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	return s, err
}

// serve serves a handler at a free port until this process ends.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// freePorts finds six ports in a row that are free at all of some addresses.
func freePorts(ips []string) (out [6]int, err error) {
	for try := range 200 {
		base := 20000 + (os.Getpid()*37+try*101)%9000
		free := true
		for _, ip := range ips {
			for i := range out {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			for i := range out {
				out[i] = base + i
			}
			return out, nil
		}
	}
	return out, fmt.Errorf("no free ports")
}

// addDaemons writes the settings of n daemons, the deploy file's template with the
// platform's fields filled in, and starts them within 0.3 s.
func (s *stage) addDaemons(n int) error {
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%100, os.Getpid()/100%250, i+1))
	}
	var err error
	if s.ports, err = freePorts(ips); err != nil {
		return err
	}
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, s.ports[3])))
	}
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("front-%s-1", zones[i%len(zones)]), ip: ip, settings: filepath.Join(s.dir, fmt.Sprintf("daemon-%d.yaml", i+1))}
		if err := os.WriteFile(d.settings, []byte(s.settings(d, zones[i%len(zones)], seeds, true)), 0o600); err != nil {
			return err
		}
		if err := s.startDaemon(d); err != nil {
			return err
		}
		if err := os.WriteFile(d.settings, []byte(s.settings(d, zones[i%len(zones)], seeds, false)), 0o600); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	return s.waitReady()
}

var zones = []string{"palmira", "buga", "tulua", "candelaria"}

func (s *stage) settings(d *daemon, zone string, seeds []string, first bool) string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
	return fmt.Sprintf(`daemon: {instance: %q, dataCentre: %q, region: "valle-cauca", firstStart: %t}
listen: {callers: %q, ready: %q, directory: %q, peers: %q}
seeds: [%s]
store: {address: %q}
cloud: {address: %q, duties: ["usage_report"]}
limits: {memoryMB: 284, cores: 0.4, linkMbps: 1000.0}
bounds:
  graceSeconds: %d
  retryRatio: 0.2
  retryWindowSeconds: 10
  retrySlack: 52
  limitExcess: 140000
  limitExcessShare: 0.1
  limitWindowSeconds: 8
  usageWindowSeconds: 5
  leaseMillis: 3000
  answerMaxAgeSeconds: %g
  contactMillis: %d
  changeMillis: 2000
log: {level: info}
`, d.name, zone, first, at(s.ports[0]), at(s.ports[1]), at(s.ports[2]), at(s.ports[4]), strings.Join(seeds, ", "),
		s.storeAddress, s.cloudAddress, graceSeconds, answerAge.Seconds(), contact.Milliseconds())
}

// startDaemon starts a daemon with the deploy file's command.
func (s *stage) startDaemon(d *daemon) (err error) {
	d.starts++
	log := filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", filepath.Base(d.settings), d.starts))
	d.process, err = s.start(log, "target/cyclamenbeam", "serve", "--settings", d.settings)
	return err
}

// start starts a process that ends with this one at the latest.
func (s *stage) start(log, name string, args ...string) (*process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(name, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (s *stage) callers(d *daemon) string   { return fmt.Sprintf("%s:%d", d.ip, s.ports[0]) }
func (s *stage) directory(d *daemon) string { return fmt.Sprintf("%s:%d", d.ip, s.ports[2]) }

// waitReady waits until all daemons answer the platform's check.
func (s *stage) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", d.ip, s.ports[1]))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.daemons) {
			return nil
		}
	}
	return fmt.Errorf("the daemons did not become ready")
}

// close ends all processes and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}
