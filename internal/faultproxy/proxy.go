// Package faultproxy is a small TCP proxy for tests. It stands between two
// processes and makes their connections slow, cut, reset or silent.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes connections on to one target. Its faults may be switched at any
// time. Make one with New.
type Proxy struct {
	target   string
	listener net.Listener
	delay    atomic.Int64 // of each chunk, ns
	answerLimit    atomic.Int64 // bytes of answers after which a new connection is reset
	mu       sync.Mutex
	links    map[*link]struct{}
}

// New returns a proxy on a free port of the loopback interface.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens, host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

// Delay holds each chunk of bytes back by d, on all connections.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// ResetAfter resets each connection that is opened from now on once n bytes of
// answers were passed on; 0 is never.
func (p *Proxy) ResetAfter(n int64) { p.answerLimit.Store(n) }

// Cut resets the open connections and returns how many there were.
func (p *Proxy) Cut() int { return p.forEachLink((*link).reset) }

// BlackHole makes the open connections silent for good while new ones work,
// as a middlebox does that has lost its table: bytes are acknowledged to their
// sender and go nowhere. It returns how many connections there were.
func (p *Proxy) BlackHole() int {
	return p.forEachLink(func(l *link) { l.blackHoled.Store(true) })
}

// DropAnswers lets what callers send on open connections through and loses the answers.
func (p *Proxy) DropAnswers() int {
	return p.forEachLink(func(l *link) { l.answersDropped.Store(true) })
}

func (p *Proxy) forEachLink(f func(*link)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		f(l)
	}
	return len(p.links)
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(caller)
	}
}

// handle joins a connection with one to the target until both have ended.
func (p *Proxy) handle(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{proxy: p, caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	l.run(p.answerLimit.Load())
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}
