package engine

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

const (
	maxEvents     = 16_384 // kept for readers; older ones become a gap
	maxEventsPage = 2048
)

type timedEvent struct {
	visibleAt time.Time
	event     engineapi.CacheEvent
}

// eventLog publishes cache events late and loses a share. The caller guards it.
type eventLog struct {
	delay  time.Duration
	loss   float64
	random *rand.Rand
	drop   bool // lose all
	seq    uint64
	log    []timedEvent
}

func newEventLog(o Options) *eventLog {
	return &eventLog{
		delay:  o.EventDelay,
		loss:   o.EventLoss,
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// add numbers an event and, unless it gets lost, keeps it.
func (l *eventLog) add(now time.Time, stored bool, hash uint64) {
	l.seq++
	lost := l.loss > 0 && l.random.Float64() < l.loss
	if lost || l.drop {
		return
	}
	if len(l.log) >= maxEvents {
		l.log = append(l.log[:0], l.log[maxEvents/4:]...)
	}
	event := engineapi.CacheEvent{Seq: l.seq, Stored: stored, Hash: hash}
	l.log = append(l.log, timedEvent{visibleAt: now.Add(l.delay), event: event})
}

// since returns a page of the events after seq that are visible at now.
func (l *eventLog) since(now time.Time, seq uint64) engineapi.CacheEvents {
	page := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}, Next: seq}
	for _, e := range l.log {
		if e.event.Seq <= seq {
			continue
		}
		if e.visibleAt.After(now) || len(page.Events) == maxEventsPage {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Seq
	}
	return page
}
