package upstream

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenbeam/cyclamenbeam/internal/clock"
)

// readBuffer is a connection's read buffer, in bytes: room for an answer's head
// and most of a plain service's body.
const readBuffer = 4096

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	address  string
	pool     *Pool
	host     *host
	dialled  time.Time
	received *clock.Moment // when bytes were last received
	nc       net.Conn
	r        *bufio.Reader // reads through conn.Read
	wait     readWait
	expires  time.Time // when the idle connection is closed; zero: not set
	reused   bool      // has served an earlier request
	// readFailed says that reading from the connection has failed, also at its end.
	readFailed bool
	// recent are the IDs of the last requests, of which late answers are skipped.
	recent [maxSkipped]string
	run    string // of the endpoint, that the connection is confirmed to reach; empty: unknown
	// askedFor is the run that it was last asked for.
	askedFor string
}

func newConn(p *Pool, h *host, address string, nc net.Conn) *conn {
	c := &conn{address: address, pool: p, host: h, dialled: time.Now(), received: clock.NewMoment(), nc: nc}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c
}

func (c *conn) close() { _ = c.nc.Close() }

// carry records that the connection carries a request.
func (c *conn) carry(id string) {
	copy(c.recent[1:], c.recent[:])
	c.recent[0] = id
}

// carried reports whether one of the last requests had this ID.
func (c *conn) carried(id string) bool { return id != "" && slices.Contains(c.recent[:], id) }

// reusable reports whether an idle connection is open and has no bytes to read.
// On a connection that the endpoint has closed, a request that must run at most
// once would be lost without a retry; unread bytes are an answer to an earlier
// request. The check reads the socket's state without blocking; an answer that
// arrives later is detected by Call.Owns.
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

// open reports whether a connection is open and has no bytes to read; known is false if that can't
// be told. Other goroutines may use the connection: unlike reading, polling leaves them the reset of
// a connection, which the kernel reports once.
func (c *conn) open() (open, known bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) {
		n, err := poll(fd)
		open, known = n == 0, err == nil
	})
	if err != nil { // closed by this process
		return false, true
	}
	return open && known, known
}

// poll returns 1 if a socket has bytes to read or has ended, and 0 if not.
func poll(fd uintptr) (n int, err error) {
	for {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}, 0)
		if err != unix.EINTR { // the runtime preempts threads by signals
			return n, err
		}
	}
}

// expiry returns until when an idle connection may be kept after an answer,
// zero if the endpoint closes it.
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
