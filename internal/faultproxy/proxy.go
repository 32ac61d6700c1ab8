// Package faultproxy is a small TCP proxy for tests. It forwards connections
// between two processes, and can delay them, reset them or drop their bytes.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to one target. Its methods may be called at any time,
// from several goroutines. Create one with New.
type Proxy struct {
	target      string
	listener    net.Listener
	delay       atomic.Int64 // delay of each chunk, ns
	answerLimit atomic.Int64 // bytes of answers after which a new connection is reset; 0 is no limit
	mu          sync.Mutex
	links       map[*link]struct{}
}

// New returns a proxy that listens on a free port of the loopback interface and
// forwards to target, host:port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens, host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops listening and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

// Delay delays each chunk of bytes by d, in both directions and on all connections.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// ResetAfter resets each connection that is opened from now on once n bytes of
// answers were forwarded; 0 turns this off.
func (p *Proxy) ResetAfter(n int64) { p.answerLimit.Store(n) }

// Cut resets the open connections and returns how many there were.
func (p *Proxy) Cut() int { return p.forEachLink((*link).reset) }

// BlackHole permanently drops all bytes of the open connections, while new ones
// work, like a middlebox that has lost its connection table. The sender's bytes are
// still acknowledged. It returns how many connections were open.
func (p *Proxy) BlackHole() int {
	return p.forEachLink(func(l *link) { l.blackHoled.Store(true) })
}

// DropAnswers permanently drops the target's bytes on the open connections, and
// still forwards the caller's. It returns how many connections were open.
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

// handle opens a connection to the target for a caller's connection, and forwards
// between them until both have ended.
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
