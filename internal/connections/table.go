package connections

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stalledAfter is how far a connection is behind its schedule before it gives way to the bodies
	// of others, or, if its client takes no bytes of an answer, to other connections.
	stalledAfter = time.Second
	// uploadRate is the least rate of a body that is on schedule, in bytes a second.
	uploadRate = 8 << 10
	// freeHead is the part of a head's memory that isn't counted: that of a usual head.
	freeHead = 8 << 10
	// answerTimeout is how long a client may take no bytes of an answer.
	answerTimeout = 10 * time.Second
	// leftoverTimeout bounds the reading of what is left of an answered request's body.
	leftoverTimeout = 2 * time.Second
)

// Times are how long clients may take.
type Times struct {
	Head time.Duration // from the connection's first byte of a head, or from its start, to the head's end
	Idle time.Duration // from an answer to the next request
}

// Table holds the connections of all listeners. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	conns     map[*Conn]struct{}
	headBytes int64 // for all heads
	headsUsed int64
}

// NewTable returns a table in which all heads together hold at most so many bytes of memory.
func NewTable(headBytes int64) *Table {
	return &Table{conns: map[*Conn]struct{}{}, headBytes: headBytes}
}

// Listener is a listener with places of its own.
type Listener struct {
	table  *Table
	Name   string
	places int
	open   int
}

// Listener returns a listener that holds at most so many connections.
func (t *Table) Listener(name string, places int) *Listener {
	return &Listener{table: t, Name: name, places: places}
}

// Closing is a connection to close, and why.
type Closing struct {
	Conn   *Conn
	Reason Reason
}

// Conn is a connection. Its methods may be called after it was removed.
type Conn struct {
	listener *Listener
	// Close closes the connection. It must not call methods of the table.
	Close func()

	phase phase
	// since is when the phase began. While a body arrives it is the time until which the connection
	// is on schedule.
	since   time.Time
	blocked atomic.Int64 // when the write in progress began, in Unix nanoseconds; 0 without one
	head    int64        // estimated memory of the head
	removed bool
}

// Listener returns the connection's listener.
func (c *Conn) Listener() *Listener { return c.listener }

// Add adds a new connection. If its listener has no place, another one gives way; ok is false if
// none can, and the new one must be closed.
func (l *Listener) Add(now time.Time, closeConn func()) (c *Conn, give []Closing, ok bool) {
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.open >= l.places {
		other := t.last(now, func(o *Conn) bool { return o.listener == l && o.givesWay(now) })
		if other == nil {
			return nil, nil, false
		}
		give = t.give(other, Places)
	}
	c = &Conn{listener: l, Close: closeConn, since: now}
	t.conns[c] = struct{}{}
	l.open++
	return c, give, true
}

// Remove removes a connection that has been closed.
func (c *Conn) Remove() {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(c)
}

// Received reports bytes of a client, of which lines end. While a head arrives it returns the
// connections that give way to it; ok is false if none can, and this one must be closed.
func (c *Conn) Received(now time.Time, bytes, lines int) (give []Closing, ok bool) {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c.phase {
	case idle:
		c.phase, c.since = reading, now
		fallthrough
	case reading:
		return t.hold(now, c, c.head+headMemory(bytes, lines))
	case uploading:
		c.since = c.since.Add(time.Duration(bytes) * time.Second / uploadRate)
		if c.since.After(now) {
			c.since = now
		}
	}
	return nil, true
}

// Begin reports a whole head, with its bytes and fields. body says that a body follows.
func (c *Conn) Begin(now time.Time, bytes, fields int, body bool) (give []Closing, ok bool) {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.phase, c.since = working, now
	if body {
		c.phase = uploading
	}
	return t.hold(now, c, headMemory(bytes, fields))
}

// Complete reports that the request's body has arrived whole.
func (c *Conn) Complete(now time.Time) {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase == uploading {
		c.phase, c.since = working, now
	}
}

// Answered reports that the request was answered.
func (c *Conn) Answered(now time.Time) {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.phase, c.since = leftover, now
}

// Idle reports that the connection waits for another request.
func (c *Conn) Idle(now time.Time) {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.phase, c.since = idle, now
	t.release(c)
}

// Writing reports that a write has begun, or that the one in progress goes on.
func (c *Conn) Writing(now time.Time) { c.blocked.Store(now.UnixNano()) }

// Written reports that the write in progress has ended.
func (c *Conn) Written() { c.blocked.Store(0) }

// blockedFor returns for how long the write in progress has made no progress, 0 without one.
func (c *Conn) blockedFor(now time.Time) time.Duration {
	if at := c.blocked.Load(); at != 0 {
		return time.Duration(now.UnixNano() - at)
	}
	return 0
}

// MakeRoom returns a connection whose body is behind its schedule, and gives way to another body;
// none if all are on schedule.
func (t *Table) MakeRoom(now time.Time) []Closing {
	t.mu.Lock()
	defer t.mu.Unlock()
	other := t.last(now, func(o *Conn) bool { return o.phase == uploading && now.Sub(o.since) >= stalledAfter })
	if other == nil {
		return nil
	}
	return t.give(other, BodyMemory)
}

// Expired returns the connections whose time has ended.
func (t *Table) Expired(now time.Time, times Times) []Closing {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Closing
	for c := range t.conns {
		if reason := c.expired(now, times); reason != "" {
			out = append(out, t.give(c, reason)...)
		}
	}
	return out
}

// Open returns the number of a listener's connections.
func (l *Listener) Open() int {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	return l.open
}

// expired returns the limit that a connection has exceeded, empty if none.
func (c *Conn) expired(now time.Time, times Times) Reason {
	blocked := c.blockedFor(now)
	if blocked > answerTimeout {
		return AnswerTime
	}
	waited := now.Sub(c.since)
	switch {
	case c.phase == reading && waited > times.Head:
		return HeadTime
	case c.phase == idle && waited > times.Idle:
		return IdleTime
	case c.phase == leftover && blocked == 0 && waited > leftoverTimeout:
		return BodyTime
	}
	return ""
}

// givesWay reports whether a connection gives way to a new one.
func (c *Conn) givesWay(now time.Time) bool {
	return c.phase != working || c.blockedFor(now) >= stalledAfter
}

// waiting returns for how long a connection has waited for its client.
func (c *Conn) waiting(now time.Time) time.Duration {
	if blocked := c.blockedFor(now); blocked > 0 {
		return blocked
	}
	return now.Sub(c.since)
}

// last returns the connection, among those that may give way, that has waited longest, nil if there
// is none. Those that are served come after all that wait for a request. The lock is held.
func (t *Table) last(now time.Time, may func(*Conn) bool) *Conn {
	var out *Conn
	for c := range t.conns {
		if !may(c) {
			continue
		}
		if out == nil || c.phase != working && out.phase == working ||
			(c.phase == working) == (out.phase == working) && c.waiting(now) > out.waiting(now) {
			out = c
		}
	}
	return out
}

// hold sets the memory of a connection's head. The lock is held.
func (t *Table) hold(now time.Time, c *Conn, bytes int64) (give []Closing, ok bool) {
	if c.removed {
		return nil, false
	}
	more := max(bytes-freeHead, 0) - max(c.head-freeHead, 0)
	for more > 0 && t.headsUsed+more > t.headBytes {
		other := t.last(now, func(o *Conn) bool { return o != c && o.head > freeHead && o.givesWay(now) })
		if other == nil {
			return append(give, t.give(c, HeadMemory)...), false
		}
		give = append(give, t.give(other, HeadMemory)...)
	}
	t.headsUsed += more
	c.head = bytes
	return give, true
}

// release gives the memory of a connection's head back. The lock is held.
func (t *Table) release(c *Conn) {
	t.headsUsed -= max(c.head-freeHead, 0)
	c.head = 0
}

// give removes a connection that is to be closed. The lock is held.
func (t *Table) give(c *Conn, r Reason) []Closing {
	t.remove(c)
	return []Closing{{Conn: c, Reason: r}}
}

// remove removes a connection. The lock is held.
func (t *Table) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	t.release(c)
	delete(t.conns, c)
	c.listener.open--
}

// headMemory estimates the memory of a head while its request is served: its bytes are held as
// received, as parsed and as forwarded, and each field takes entries in the parsed and the
// forwarded header.
func headMemory(bytes, fields int) int64 {
	const copies, fieldBytes = 3, 250
	return int64(bytes)*copies + int64(fields)*fieldBytes
}
