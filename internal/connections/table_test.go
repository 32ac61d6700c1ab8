package connections

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func add(t *testing.T, l *Listener, now time.Time) (*Conn, []Closing) {
	t.Helper()
	c, give, ok := l.Add(now, func() {})
	assert.Assert(t, ok)
	return c, give
}

func begin(t *testing.T, c *Conn, now time.Time, fields int, body bool) {
	t.Helper()
	give, ok := c.Begin(now, 0, fields, body)
	assert.Assert(t, ok)
	assert.Equal(t, len(give), 0)
}

func TestConnectionThatWaitsLongestGivesWay(t *testing.T) {
	l := NewTable(1<<20).Listener("callers", 3)
	served, _ := add(t, l, at(0))
	begin(t, served, at(0), 1, false)
	early, _ := add(t, l, at(1))
	late, _ := add(t, l, at(2))
	for i, expected := range []*Conn{early, late} {
		c, give := add(t, l, at(3+float64(i)))
		assert.Equal(t, len(give), 1)
		assert.Equal(t, give[0].Conn, expected)
		assert.Equal(t, give[0].Reason, Places)
		begin(t, c, at(3+float64(i)), 1, false)
	}
	_, _, ok := l.Add(at(5), func() {})
	assert.Assert(t, !ok) // all are served
	served.Writing(at(5))
	_, give := add(t, l, at(7))
	assert.Equal(t, give[0].Conn, served) // its client takes no bytes
	assert.Equal(t, l.Open(), 3)
}

// Guards against clients that take the places of another listener.
func TestListenersHavePlacesOfTheirOwn(t *testing.T) {
	table := NewTable(1 << 20)
	callers, ready := table.Listener("callers", 2), table.Listener("ready", 2)
	for i := range 10 {
		add(t, callers, at(float64(i)))
	}
	_, give := add(t, ready, at(10))
	assert.Equal(t, len(give), 0)
	assert.Equal(t, callers.Open(), 2)
}

// Plays 1,000 silent connections a second beside callers whose requests arrive within 50 ms.
func TestCallersAreServedBesideASilentCrowd(t *testing.T) {
	const places = 100
	l := NewTable(1<<20).Listener("callers", places)
	callers := map[*Conn]int{} // and when they opened their connections, in milliseconds
	closed := 0
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		_, give := add(t, l, now)
		if ms%10 == 0 {
			c, more := add(t, l, now)
			callers[c] = ms
			give = append(give, more...)
		}
		for _, g := range give {
			if _, ok := callers[g.Conn]; ok {
				closed++
			}
		}
		for c, opened := range callers {
			switch ms - opened {
			case 50:
				_, ok := c.Begin(now, 500, 10, false)
				assert.Assert(t, ok)
			case 100:
				c.Remove()
				delete(callers, c)
			}
		}
		assert.Assert(t, l.Open() <= places)
	}
	assert.Equal(t, closed, 0)
}

// Plays heads of many fields that end, or don't, in any order, beside usual ones.
func TestHeadsStayWithinTheirMemory(t *testing.T) {
	const headBytes = 4 << 20
	table := NewTable(headBytes)
	l := table.Listener("callers", 400)
	rng := rand.New(rand.NewPCG(1, 2))
	var open []*Conn
	for i := range 50_000 {
		now := at(float64(i) / 1000)
		if len(open) < 300 || rng.IntN(10) == 0 {
			c, _, ok := l.Add(now, func() {})
			if ok {
				open = append(open, c)
			}
		}
		c := open[rng.IntN(len(open))]
		switch rng.IntN(6) {
		case 0, 1, 2:
			c.Received(now, 4<<10, rng.IntN(800))
		case 3:
			c.Begin(now, 16<<10, rng.IntN(3000), rng.IntN(2) == 0)
		case 4:
			c.Idle(now)
		case 5:
			usual, _, ok := l.Add(now, func() {})
			if ok {
				_, ok = usual.Begin(now, 700, 15, false)
				assert.Assert(t, ok)
				usual.Remove()
			}
		}
		assert.Assert(t, table.headsUsed >= 0 && table.headsUsed <= headBytes, "%d", table.headsUsed)
	}
	for _, c := range open {
		c.Remove()
	}
	assert.Equal(t, table.headsUsed, int64(0))
	assert.Equal(t, l.Open(), 0)
}

// Guards against limits that a single request inside of what the configuration allows meets.
func TestOneHeadOfShortFieldsFindsRoom(t *testing.T) {
	c, _ := add(t, NewTable(4<<20).Listener("callers", 1), at(0))
	for range 4 {
		give, ok := c.Received(at(0), 4<<10, 820)
		assert.Assert(t, ok)
		assert.Equal(t, len(give), 0)
	}
	begin(t, c, at(0), 3300, false)
}

func TestBodyBehindItsScheduleMakesRoom(t *testing.T) {
	table := NewTable(1 << 20)
	l := table.Listener("callers", 10)
	stopped, _ := add(t, l, at(0))
	steady, _ := add(t, l, at(0))
	working, _ := add(t, l, at(0))
	for _, c := range []*Conn{stopped, steady} {
		begin(t, c, at(0), 1, true)
	}
	begin(t, working, at(0), 1, false)
	assert.Equal(t, len(table.MakeRoom(at(0.5))), 0)
	for ms := 0; ms < 5000; ms += 100 {
		_, ok := steady.Received(at(float64(ms)/1000), uploadRate/10, 0)
		assert.Assert(t, ok)
	}
	give := table.MakeRoom(at(5))
	assert.Equal(t, len(give), 1)
	assert.Equal(t, give[0].Conn, stopped)
	assert.Equal(t, len(table.MakeRoom(at(5))), 0)
}

func TestTimesOfClientsEnd(t *testing.T) {
	times := Times{Head: 5 * time.Second, Idle: 60 * time.Second}
	table := NewTable(1 << 20)
	l := table.Listener("callers", 10)
	for _, c := range []struct {
		reason Reason
		within time.Duration
		do     func(c *Conn)
	}{
		{HeadTime, times.Head, func(*Conn) {}},
		{HeadTime, times.Head, func(c *Conn) { c.Idle(at(0)); c.Received(at(0), 1, 0) }},
		{IdleTime, times.Idle, func(c *Conn) { c.Idle(at(0)) }},
		{BodyTime, leftoverTimeout, func(c *Conn) { c.Answered(at(0)) }},
		{AnswerTime, answerTimeout, func(c *Conn) { c.Begin(at(0), 1, 1, false); c.Writing(at(0)) }},
		{"", time.Hour, func(c *Conn) { c.Begin(at(0), 1, 1, false) }},
		{"", time.Hour, func(c *Conn) { c.Begin(at(0), 1, 1, true) }}, // the reader of the body has a deadline
	} {
		conn, _ := add(t, l, at(0))
		c.do(conn)
		assert.Equal(t, len(table.Expired(at(0).Add(c.within), times)), 0)
		expired := table.Expired(at(0).Add(c.within+time.Millisecond), times)
		if c.reason == "" {
			assert.Equal(t, len(expired), 0)
			conn.Remove()
			continue
		}
		assert.Equal(t, len(expired), 1)
		assert.Equal(t, expired[0].Reason, c.reason)
	}
}
