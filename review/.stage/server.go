package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverConfig says what a server of a plain service does with each request.
type serverConfig struct {
	id    string
	work  time.Duration // before the answer
	bytes int           // of the body
	over  time.Duration // in which the body is written
	// A server of streams writes a number of events, one each interval, and its version in each.
	version  string
	events   int
	interval time.Duration
	listen   string // its address, empty for any free one
}

// runServer serves requests until the process ends. The first line that it writes to its
// standard output is its address; each further line is a request that it began to run.
func runServer(c serverConfig) error {
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, format+"\n", args...)
		_ = out.Flush()
	}
	say("%s", l.Addr())
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, say) }))
}

func (c *serverConfig) serve(w http.ResponseWriter, r *http.Request, say func(string, ...any)) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", c.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != c.id {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", c.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	say("ran %s %d", id, time.Now().UnixMilli())
	if c.events > 0 {
		c.stream(w, r, id, say)
		return
	}
	work := c.work
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil && work > time.Duration(ms*float64(time.Millisecond)) {
		time.Sleep(time.Duration(ms * float64(time.Millisecond)))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		say("dropped %s %d", id, time.Now().UnixMilli())
		return
	}
	body := bodyOf(id, c.bytes)
	w.Header().Set("X-Response-Signature", "signed-by-"+c.id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	const pieces = 20
	for i := range pieces {
		_, err := w.Write(body[len(body)*i/pieces : len(body)*(i+1)/pieces])
		if err != nil {
			return
		}
		if c.over > 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(c.over / pieces)
		}
	}
	say("ended %s %d", id, time.Now().UnixMilli())
}

// stream writes the events after the last one that the consumer has.
func (c *serverConfig) stream(w http.ResponseWriter, r *http.Request, id string, say func(string, ...any)) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Response-Signature", "signed-by-"+c.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= c.events; n++ {
		select {
		case <-time.After(c.interval):
		case <-r.Context().Done():
			say("dropped %s %d", id, time.Now().UnixMilli())
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: written by version %s\n\n", n, c.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	say("ended %s %d", id, time.Now().UnixMilli())
}

// bodyOf returns the body of the answer to a request: bytes that depend on its id, so that
// any server of the service gives the same.
func bodyOf(id string, n int) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	out := make([]byte, 0, n+8)
	for len(out) < n {
		out = strconv.AppendUint(out, random.Uint64(), 36)
	}
	return out[:n]
}

// configFields is a serverConfig as it is passed to a server's process.
type configFields struct {
	ID                   string
	Work, Over, Interval time.Duration
	Bytes, Events        int
	Version, Listen      string
}

func (c *serverConfig) fields() configFields {
	return configFields{c.id, c.work, c.over, c.interval, c.bytes, c.events, c.version, c.listen}
}

func (f configFields) config() serverConfig {
	c := serverConfig{id: f.ID, work: f.Work, bytes: f.Bytes, over: f.Over, version: f.Version, events: f.Events, interval: f.Interval, listen: f.Listen}
	if c.listen == "" {
		c.listen = "127.0.0.1:0"
	}
	return c
}

func (c *serverConfig) softwareVersion() string {
	if c.version == "" {
		return "v1"
	}
	return c.version
}

// server is a server process as the stage sees it.
type server struct {
	config  serverConfig
	service string
	zone    string
	log     string
	process *process
	address string
	born    int64
	late    time.Duration // from its start to its first entry, at most a heartbeat
}

// startServer starts a server's process and registers it once it listens.
func (s *stage) startServer(v *server) error {
	v.born = time.Now().UnixMilli()
	v.log = filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", v.config.id, v.born))
	self, err := os.Executable()
	if err != nil {
		return err
	}
	config, err := json.Marshal(v.config.fields())
	if err != nil {
		return err
	}
	v.process, err = s.start(v.log, self, "server", string(config))
	if err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if first, _, ok := strings.Cut(readText(v.log), "\n"); ok {
			v.address = first
			if v.late > 0 {
				time.Sleep(v.late)
			}
			s.register(v, "ready")
			return nil
		}
	}
	return fmt.Errorf("server %s did not start", v.config.id)
}

// register writes a server's entry, as its heartbeat does.
func (s *stage) register(v *server, state string) {
	s.store.put("servers", v.config.id, map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": v.config.softwareVersion(), "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": v.born,
	})
}

// runs returns the lines that a server wrote about requests.
func (v *server) runs() []string {
	lines := strings.Split(strings.TrimSpace(readText(v.log)), "\n")
	return lines[1:]
}

func readText(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(text)
}
