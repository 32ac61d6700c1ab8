package retry

import "time"

// Config is the fleet's bound for one service.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the sends beyond the first for each request of a window.
	Ratio float64
	// Slack is the sends that are always allowed in a window, fleet-wide.
	Slack float64
}

// margin is the part of the bound that is used: windows of this daemon and of
// who judges are cut at different times, and requests are counted when they
// are read, not when they were sent.
const margin = 0.8

// buckets is the number of parts of a window; the oldest part is let go as a
// whole, so one more than the window's parts is kept.
const buckets = 10

// Budget is one daemon's part for one service. It is not safe for concurrent use.
type Budget struct {
	config  Config
	daemons int
	at      int64 // number of the newest bucket
	asked   [buckets + 1]int
	again   [buckets + 1]int
}

// New returns a budget for a daemon that is alone.
func New(config Config) *Budget { return &Budget{config: config, daemons: 1} }

// Daemons sets how many daemons share the bound.
func (b *Budget) Daemons(n int) { b.daemons = max(n, 1) }

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) { b.asked[b.turn(now)]++ }

// Take asks for one send beyond the first.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.again[b.turn(now)]++
	return true
}

// Left returns how many sends beyond the first this daemon has now.
func (b *Budget) Left(now time.Time) float64 {
	newest := b.turn(now)
	asked, again := 0, 0
	for i := range b.asked {
		again += b.again[i]
		if i != (newest+1)%len(b.asked) { // the oldest may be outside the window
			asked += b.asked[i]
		}
	}
	allowed := margin * (b.config.Ratio*float64(asked) + b.config.Slack/float64(b.daemons))
	return allowed - float64(again)
}

// turn clears the buckets that time has passed over and returns the newest's index.
func (b *Budget) turn(now time.Time) int {
	width := int64(b.config.Window) / buckets
	at := now.UnixNano() / width
	if at-b.at > int64(len(b.asked)) {
		b.at = at - int64(len(b.asked))
	}
	for ; b.at < at; b.at++ {
		i := int((b.at + 1) % int64(len(b.asked)))
		b.asked[i], b.again[i] = 0, 0
	}
	return int(b.at % int64(len(b.asked)))
}
