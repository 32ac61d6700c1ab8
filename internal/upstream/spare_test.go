package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRanAt(t *testing.T) {
	const none = -1
	for name, c := range map[string]struct {
		arrivals []int // milliseconds after the request
		ranAt    int
	}{
		"short answer":              {[]int{10, 20}, 0},
		"late but steady":           {[]int{900, 950}, 0},
		"long and steady":           {[]int{500, 1000, 1500, 2000, 2500}, 1500},
		"end after a pause":         {[]int{500, 1000, 1500, 2500}, none},
		"burst after a pause":       {[]int{500, 3000, 3010, 3500, 3999}, none},
		"steady again":              {[]int{500, 3000, 3500, 4000}, 3000},
		"pause after steady events": {[]int{500, 1000, 1500, 2000, 4000, 4010}, none},
	} {
		began := time.Now()
		w := readWait{began: began, arrivedAt: began, steadyFrom: began}
		for _, at := range c.arrivals {
			w.arrived(began.Add(time.Duration(at) * time.Millisecond))
		}
		want := began.Add(time.Duration(c.ranAt) * time.Millisecond)
		if c.ranAt == none {
			want = time.Time{}
		}
		assert.Assert(t, w.ranAt().Equal(want), "%s: %v", name, w.ranAt().Sub(began))
	}
}

// Guards against bytes that waited to be read as evidence that their sender runs.
func TestBacklogIsNoArrival(t *testing.T) {
	here, there := net.Pipe()
	c := newConn(nil, nil, "", here)
	began := time.Now()
	c.startWait(began, &Call{})
	go func() { _, _ = io.WriteString(there, "abcd") }()
	_, err := c.Read(make([]byte, 3))
	assert.NilError(t, err)
	assert.Assert(t, c.wait.arrivedAt.Equal(began))
	_, err = c.Read(make([]byte, 3))
	assert.NilError(t, err)
	assert.Assert(t, c.wait.arrivedAt.After(began))
}

// sockets returns a pool and the endpoint's ends of the connections that it establishes.
func sockets(t *testing.T, share int) (*Pool, string, <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return NewPool(share, DialTCP), l.Addr().String(), accepted
}

// sendUndelimited sends a call and returns the head of its answer, which has no length.
func sendUndelimited(t *testing.T, p *Pool, address string, accepted <-chan net.Conn) (*Answer, net.Conn) {
	var there net.Conn
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		there = <-accepted
		_, _ = http.ReadRequest(bufio.NewReader(there))
		_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\n\r\npart")
	}()
	a, err := p.Send(t.Context(), &Call{
		Address: address, Method: http.MethodGet, Target: "/", Host: "h",
		Header: func() http.Header { return nil }, Owns: func(http.Header) Ownership { return NoRequest },
	})
	assert.NilError(t, err)
	t.Cleanup(a.Close)
	<-answered
	return a, there
}

// readAll reads an answer to its end, which the endpoint brings about.
func readAll(t *testing.T, a *Answer, there net.Conn) {
	assert.NilError(t, there.Close())
	_, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	a.Close()
}

// spareOf returns the pool's spare connection to an address, once it is established.
func spareOf(p *Pool, address string) *conn {
	for {
		p.mu.Lock()
		c := p.hosts[address].undelimited.spare
		p.mu.Unlock()
		if c != nil {
			return c
		}
		time.Sleep(time.Millisecond)
	}
}

func TestProcessRunsWhileAnEarlierConnectionIsOpen(t *testing.T) {
	p, address, accepted := sockets(t, 10)
	first, firstThere := sendUndelimited(t, p, address, accepted)
	spareOf(p, address)
	spareThere := <-accepted
	second, secondThere := sendUndelimited(t, p, address, accepted)

	readAll(t, second, secondThere)
	assert.Assert(t, second.ProcessRuns())
	assert.NilError(t, spareThere.Close())
	readAll(t, first, firstThere)
	assert.Assert(t, !first.ProcessRuns())
	assert.Assert(t, !second.ProcessRuns())
}

// Guards against a connection to a process that was started later as evidence of one that has ended.
func TestProcessIsNotKnownToRunByALaterConnection(t *testing.T) {
	p, address, accepted := sockets(t, 10)
	a, there := sendUndelimited(t, p, address, accepted)
	spareOf(p, address)
	readAll(t, a, there)
	assert.Assert(t, !a.ProcessRuns())
}

// Guards against a reset that looks like an end in order, since another goroutine took it from the reader.
func TestPollingLeavesTheResetToTheReader(t *testing.T) {
	p, address, accepted := sockets(t, 10)
	a, there := sendUndelimited(t, p, address, accepted)
	_, err := io.ReadFull(a.Body, make([]byte, len("part")))
	assert.NilError(t, err)
	assert.NilError(t, there.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, there.Close())
	for open := true; open; {
		open, _ = a.conn.open()
	}
	_, err = a.Body.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against open connections whose state isn't known since a signal arrives.
func TestSignalsDontHideOpenConnections(t *testing.T) {
	p, address, _ := sockets(t, 10)
	h, err := p.reserve(address)
	assert.NilError(t, err)
	c, err := p.open(t.Context(), address, h)
	assert.NilError(t, err)
	stop := make(chan struct{})
	var signals sync.WaitGroup
	signals.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_ = syscall.Kill(syscall.Getpid(), syscall.SIGURG) // ignored but by the runtime
			}
		}
	})
	for range 20000 {
		open, known := c.open()
		assert.Assert(t, open && known)
	}
	close(stop)
	signals.Wait()
}

// Guards against calls that find no connection since a spare takes their place.
func TestSpareMakesRoomForCalls(t *testing.T) {
	p, address, accepted := sockets(t, 3)
	sendUndelimited(t, p, address, accepted)
	spareOf(p, address)
	<-accepted
	sendUndelimited(t, p, address, accepted)
	sendUndelimited(t, p, address, accepted)
	p.Sweep(time.Now())
	assert.Assert(t, p.hosts[address].undelimited.spare == nil)
	_, err := p.get(t.Context(), address, time.Time{}, "")
	assert.ErrorIs(t, err, ErrPoolExhausted)
}

func TestSpareIsReplacedAndExpires(t *testing.T) {
	p, address, accepted := sockets(t, 10)
	a, there := sendUndelimited(t, p, address, accepted)
	old := spareOf(p, address)
	assert.NilError(t, (<-accepted).Close())
	for open := true; open; {
		open, _ = old.open()
	}
	p.Sweep(time.Now())
	assert.Assert(t, spareOf(p, address) != old)

	readAll(t, a, there)
	p.Sweep(time.Now().Add(spareIdle / 2))
	assert.Assert(t, p.hosts[address] != nil)
	p.Sweep(time.Now().Add(spareIdle))
	assert.Assert(t, p.hosts[address] == nil)
}
