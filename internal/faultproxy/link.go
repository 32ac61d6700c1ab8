package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the most that is passed on at once.
const chunkBytes = 32 << 10

// link is one connection through the proxy.
type link struct {
	proxy     *Proxy
	caller, target net.Conn    // towards the caller and the target
	blackHoled    atomic.Bool // both ways
	answersDropped      atomic.Bool // towards the caller
}

// run passes bytes on until both directions have ended.
func (l *link) run(answerLimit int64) {
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(l.caller, l.target, 0, &l.blackHoled) })
	directions.Go(func() { l.forward(l.target, l.caller, answerLimit, &l.answersDropped) })
	directions.Wait()
	_ = l.caller.Close()
	_ = l.target.Close()
}

// forward copies from one end to the other, and resets both once limit bytes were
// passed on, if it is above 0.
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

// forwardClose tells one end that the other has closed. A silent link tells nothing:
// whoever waits on it waits until it gives up itself.
func (l *link) forwardClose(to net.Conn, dropped *atomic.Bool) {
	if !l.blackHoled.Load() && !dropped.Load() {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// reset closes both ends without an orderly end.
func (l *link) reset() {
	for _, c := range []net.Conn{l.caller, l.target} {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
