package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	host = "taller.example"
	key  = "key-of-the-only-tenant"
)

// answer is what a consumer got for one attempt.
type answer struct {
	status int // 0: none
	header http.Header
	body   []byte
	err    error // nil: the answer was complete
	closed bool  // the channel can't be used again
}

// channel is a consumer's connection to a daemon, used by one request at a time.
type channel struct {
	address string
	c       net.Conn
	r       *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{address: address, c: c, r: bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer until the deadline.
func (ch *channel) send(method, path, id string, deadline time.Duration, body []byte) answer {
	_ = ch.c.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, deadline.Milliseconds(), key)
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := ch.c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return answer{err: err, closed: true}
	}
	resp, err := http.ReadResponse(ch.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, closed: true}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, closed: resp.Close}
	if a.body, a.err = io.ReadAll(resp.Body); a.err != nil {
		a.closed = true
	}
	return a
}

// consumers share one view of the directory for each of them.
type directory struct {
	stage *stage
	zone  string
	keep  float64 // how many times its time a response is kept: 1 or 3

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// current returns the addresses to use. It asks the directory again when the response
// that it has is too old, and keeps that one if none can be had.
func (d *directory) current() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.until) {
		return d.addresses
	}
	for _, i := range d.order() {
		all, ttl, err := resolve(d.stage.directory(d.stage.daemons[i]), d.zone)
		if err == nil && len(all) > 0 {
			d.addresses = all
			d.until = time.Now().Add(time.Duration(d.keep * float64(min(ttl, answerAge))))
			return d.addresses
		}
	}
	d.until = time.Now().Add(time.Second) // none: the old one stays, and the next try is a second later
	return d.addresses
}

// order returns up to three daemons, that of the own zone first.
func (d *directory) order() []int {
	var out []int
	for i := range d.stage.daemons {
		if zones[i%len(zones)] == d.zone {
			out = append(out, i)
		}
	}
	for _, i := range rand.Perm(len(d.stage.daemons)) {
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out[:min(len(out), 3)]
}

func resolve(address, zone string) ([]string, time.Duration, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q := url.Values{"name": {host}, "region": {"valle-cauca"}, "zone": {zone}}
	resp, err := client.Get("http://" + address + "/v1/resolve?" + q.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses, time.Duration(out.TTL * float64(time.Second)), err
}
