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
	near, far net.Conn    // towards the caller and the target
	silent    atomic.Bool // both ways
	mute      atomic.Bool // towards the caller
}

// run passes bytes on until both directions have ended.
func (l *link) run(limit int64) {
	var both sync.WaitGroup
	both.Go(func() { l.pass(l.near, l.far, 0, &l.silent) })
	both.Go(func() { l.pass(l.far, l.near, limit, &l.mute) })
	both.Wait()
	_ = l.near.Close()
	_ = l.far.Close()
}

// pass copies from one end to the other, and resets both once limit bytes were
// passed on, if it is above 0.
func (l *link) pass(from, to net.Conn, limit int64, lost *atomic.Bool) {
	buf := make([]byte, chunkBytes)
	for passed := int64(0); ; {
		n, err := from.Read(buf)
		passed += int64(n)
		over := limit > 0 && passed >= limit
		if over {
			n -= int(passed - limit)
		}
		time.Sleep(time.Duration(l.proxy.delay.Load()))
		if !l.silent.Load() && !lost.Load() {
			_, _ = to.Write(buf[:n])
		}
		switch {
		case over:
			l.reset()
			return
		case err != nil:
			l.ended(to, lost)
			return
		}
	}
}

// ended tells one end that the other has closed. A silent link tells nothing:
// whoever waits on it waits until it gives up itself.
func (l *link) ended(to net.Conn, lost *atomic.Bool) {
	if !l.silent.Load() && !lost.Load() {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// reset closes both ends without an orderly end.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
