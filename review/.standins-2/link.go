package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the path to an engine's address. While it is cut, it holds what is sent in either direction, the
// ends of channels too, and new channels wait.
type link struct {
	address  string
	listener net.Listener
	mu       sync.Mutex
	to       string        // where the engine's process listens
	open     chan struct{} // closed unless the link is cut
}

func newLink() *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("link: %v", err)
	}
	k := &link{address: l.Addr().String(), listener: l, open: make(chan struct{})}
	close(k.open)
	go k.accept(l)
	return k
}

func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

// refuse refuses new channels. Those that are open live on.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
}

// admit ends refuse.
func (k *link) admit() {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		cannotRun("link: %v", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener = l
	go k.accept(l)
}

// lead sets where the engine's process listens.
func (k *link) lead(to string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.to = to
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// pass waits while the link is cut.
func (k *link) pass() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) carry(c net.Conn) {
	defer c.Close()
	k.pass()
	k.mu.Lock()
	to := k.to
	k.mu.Unlock()
	s, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0) // no process listens there: a reset
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go k.copy(c, s, done)
	go k.copy(s, c, done)
	<-done
	<-done
}

// copy passes bytes on, and the end of them: in order, or with a reset.
func (k *link) copy(to, from net.Conn, done chan struct{}) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		k.pass()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				break
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			break
		}
		if err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			break
		}
	}
	done <- struct{}{}
}
