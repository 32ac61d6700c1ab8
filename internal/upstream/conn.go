package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenbeam/cyclamenbeam/internal/clock"
)

// readBuffer holds an answer's head and most of a plain service's body.
const readBuffer = 4096

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	address  string
	pool     *Pool
	host     *host
	dialled  time.Time
	received *clock.Moment // when bytes came last
	nc       net.Conn
	r        *bufio.Reader // of conn itself
	wait     readWait
	expires  time.Time // kept until then
	reused   bool      // served a request before
}

func newConn(p *Pool, h *host, address string, nc net.Conn) *conn {
	c := &conn{address: address, pool: p, host: h, dialled: time.Now(), received: clock.NewMoment(), nc: nc}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c
}

func (c *conn) close() { _ = c.nc.Close() }

// reusable reports whether an idle connection is open and has no bytes to read.
// Failure: the endpoint closed it, or sent an answer that nobody waits for.
// Symptom: a request that must run once is sent into a closed connection and
// can't be repeated, or gets another request's answer. The kernel's view is
// asked without waiting; what is still on its way is found by Owns.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && open
}

// expiry returns how long the endpoint will keep the connection after this
// answer; zero where it closes it.
func expiry(now time.Time, resp *http.Response) time.Time {
	if resp.Close {
		return time.Time{}
	}
	idle := idleDefault
	for field := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return now.Add(idle)
}
