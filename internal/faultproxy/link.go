package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the size of the buffer of each direction.
const chunkBytes = 32 << 10

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	caller, target net.Conn    // connections to the caller and to the target
	blackHoled     atomic.Bool // drop the bytes of both directions
	answersDropped atomic.Bool // drop the bytes from the target to the caller
}

// run forwards bytes in both directions until both have ended. answerLimit bounds
// the bytes sent to the caller, as in forward.
func (l *link) run(answerLimit int64) {
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(l.caller, l.target, 0, &l.blackHoled) })
	directions.Go(func() { l.forward(l.target, l.caller, answerLimit, &l.answersDropped) })
	directions.Wait()
	_ = l.caller.Close()
	_ = l.target.Close()
}

// forward copies bytes from one connection to the other. If limit is above 0, it
// resets both once limit bytes were forwarded. While dropped or l.blackHoled is
// set, bytes are read and discarded.
func (l *link) forward(from, to net.Conn, limit int64, dropped *atomic.Bool) {
	buf := make([]byte, chunkBytes)
	for total := int64(0); ; {
		n, err := from.Read(buf)
		total += int64(n)
		over := limit > 0 && total >= limit
		if over {
			n -= int(total - limit)
		}
		time.Sleep(time.Duration(l.proxy.delay.Load()))
		if !l.blackHoled.Load() && !dropped.Load() {
			_, _ = to.Write(buf[:n])
		}
		switch {
		case over:
			l.reset()
			return
		case err != nil:
			l.forwardClose(to, dropped)
			return
		}
	}
}

// forwardClose closes the write side of a connection after the other one has ended.
// It does nothing while bytes of this direction are dropped, so that the receiver
// waits until its own timeout.
func (l *link) forwardClose(to net.Conn, dropped *atomic.Bool) {
	if !l.blackHoled.Load() && !dropped.Load() {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.caller, l.target} {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
