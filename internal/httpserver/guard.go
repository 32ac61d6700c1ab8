package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/connections"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

const (
	// sweepInterval is the time between two checks of the connections' times.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the least time between two log lines of closed connections.
	logInterval = 10 * time.Second
)

// Guard bounds what the clients of all its servers cost together.
type Guard struct {
	table *connections.Table
	times func() connections.Times
	log   *logrus.Entry

	mu       sync.Mutex
	closed   map[string]map[connections.Reason]int // by listener, ever
	unlogged map[string]int                        // by listener and limit, since the last line
	logged   time.Time
}

// NewGuard returns a guard under which the heads of requests hold at most so many bytes of memory.
// times returns how long clients may take.
func NewGuard(headBytes int64, times func() connections.Times, log *logrus.Entry) *Guard {
	return &Guard{
		table: connections.NewTable(headBytes), times: times, log: log,
		closed: map[string]map[connections.Reason]int{}, unlogged: map[string]int{},
	}
}

// Run closes connections whose time has ended, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.close(g.table.Expired(now, g.times()))
			g.logClosed(now)
		}
	}
}

// MakeRoom closes a connection whose body is behind its schedule, if there is one.
func (g *Guard) MakeRoom() { g.close(g.table.MakeRoom(time.Now())) }

// Closed calls f with the number of connections that a limit closed at a listener.
func (g *Guard) Closed(f func(listener, limit string, n int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for listener, byReason := range g.closed {
		for reason, n := range byReason {
			f(listener, string(reason), n)
		}
	}
}

// Start serves a listener until Close, with at most so many connections. It logs if the listener ends
// earlier.
func (g *Guard) Start(server *http.Server, l net.Listener, name string, places int, log *logrus.Entry) *Server {
	server.ConnState, server.ConnContext = onState, withConn
	server.Handler = &handler{Handler: server.Handler, guard: g}
	return Start(server, &listener{Listener: l, guard: g, of: g.table.Listener(name, places)}, log)
}

// close closes connections and counts them.
func (g *Guard) close(all []connections.Closing) {
	for _, c := range all {
		c.Conn.Close()
		g.count(c.Conn.Listener().Name, c.Reason)
	}
}

func (g *Guard) count(listener string, r connections.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed[listener] == nil {
		g.closed[listener] = map[connections.Reason]int{}
	}
	g.closed[listener][r]++
	if r != connections.IdleTime {
		g.unlogged[listener+" "+string(r)]++
	}
}

// logClosed logs the connections that were closed since the last line.
func (g *Guard) logClosed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unlogged) == 0 || now.Sub(g.logged) < logInterval {
		return
	}
	g.logged = now
	g.log.WithField("connections", g.unlogged).Warn("connections closed by limits")
	g.unlogged = map[string]int{}
}

const (
	// receiveBuffer and sendBuffer bound the kernel's buffers of a connection, in bytes.
	receiveBuffer = 32 << 10
	sendBuffer    = 32 << 10
)

// Listen listens at a TCP address. The connections' buffers in the kernel are bounded.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(network, address string, raw syscall.RawConn) error {
		if err := upstream.UserTimeout(network, address, raw); err != nil {
			return err
		}
		return upstream.SetBuffers(raw, receiveBuffer, sendBuffer)
	}}
	return lc.Listen(ctx, "tcp", address)
}
