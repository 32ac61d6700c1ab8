package daemon

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reclaim"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
)

const (
	reclaimRing = 256
	// reclaimTick is how often due moves are started and new streams on
	// endpoints under notice are planned for.
	reclaimTick = 100 * time.Millisecond
	// reclaimTargets bounds the endpoints that a plan chooses from.
	reclaimTargets = 32
	// kvBytesPerToken and linkBytes are assumed of every engine: a model of 8
	// billion parameters at 16 bits, and a link of 10 Gbit/s.
	kvBytesPerToken = 128 << 10
	linkBytes       = 1.25e9
	// unknownLeave is how long an endpoint is taken to stay when its list entry
	// says that it leaves and not when.
	unknownLeave = 30 * time.Second
)

// reclaimState is what the duty owns.
type reclaimState struct {
	planner *reclaim.Planner
	notices map[fleet.EndpointID]reclaim.Notice
	due     []reclaim.Move
	recent  []time.Time // of planned moves whose room is still reserved, oldest first
}

// reclaimDuty moves this daemon's streams off endpoints under notice. It needs
// neither the store nor a lease, since no other daemon may move what this one holds.
type reclaimDuty struct {
	*owner[*reclaimState]
	dispatcher *dispatch.Dispatcher
	routing    *routingDuty
	daemons    func() int // that may export from one endpoint at once
	log        *logrus.Entry
}

func newReclaimDuty(d *dispatch.Dispatcher, r *routingDuty, daemons func() int, log *logrus.Entry) *reclaimDuty {
	return &reclaimDuty{
		owner: newOwner("reclaim", reclaimRing, &reclaimState{
			planner: reclaim.NewPlanner(reclaim.DefaultPolicy()),
			notices: make(map[fleet.EndpointID]reclaim.Notice),
		}),
		dispatcher: d,
		routing:    r,
		daemons:    daemons,
		log:        log,
	}
}

func (d *reclaimDuty) start(ctx context.Context) { go d.run(ctx, reclaimTick, d.tick) }

// notice takes the announced end of an endpoint. Repeating it is harmless.
func (d *reclaimDuty) notice(e fleet.Endpoint, at time.Time) {
	d.tell(func(now time.Time, s *reclaimState) {
		if at.IsZero() {
			if known, ok := s.notices[e.ID]; ok {
				at = known.LeaveAt
			} else {
				at = now.Add(unknownLeave)
			}
		}
		if known, ok := s.notices[e.ID]; ok && !at.Before(known.LeaveAt) {
			return
		}
		s.notices[e.ID] = reclaim.Notice{
			Endpoint:   e.ID,
			DataCentre: e.DataCentre,
			LeaveAt:    at,
			LinkRate:   linkBytes / float64(max(1, d.daemons())),
		}
	})
}

func (d *reclaimDuty) tick(now time.Time, s *reclaimState) {
	d.forget(now, s)
	if len(s.notices) > 0 {
		d.plan(now, s)
	}
	rest := s.due[:0]
	for _, m := range s.due {
		if m.At.After(now) {
			rest = append(rest, m)
			continue
		}
		go d.dispatcher.Move(m)
	}
	s.due = rest
}

// forget drops the notices of endpoints that are long gone.
func (d *reclaimDuty) forget(now time.Time, s *reclaimState) {
	for id, n := range s.notices {
		if now.Sub(n.LeaveAt) > reclaim.DefaultPolicy().ReservationTTL {
			delete(s.notices, id)
		}
	}
}

func (d *reclaimDuty) plan(now time.Time, s *reclaimState) {
	streams := d.threatened(s)
	if len(streams) == 0 {
		return
	}
	notices := make([]reclaim.Notice, 0, len(s.notices))
	for _, n := range s.notices {
		notices = append(notices, n)
	}
	s.recent = slices.DeleteFunc(s.recent, func(at time.Time) bool { return now.Sub(at) > reclaim.DefaultPolicy().ReservationTTL })
	targets := d.targets(streams)
	spread(targets, len(streams)+len(s.recent))
	for _, m := range s.planner.Plan(now, notices, streams, targets) {
		d.log.WithField("request", m.Ref.ID).WithField("endpoint", m.From).Infof("reclaim: %s to %s", m.Method, m.To)
		if m.To != "" {
			s.recent = append(s.recent, now)
		}
		if m.Method != reclaim.Finish {
			s.due = append(s.due, m)
		}
	}
}

// threatened returns the streams on endpoints under notice.
func (d *reclaimDuty) threatened(s *reclaimState) []reclaim.Stream {
	var out []reclaim.Stream
	for _, stream := range d.dispatcher.Streams(kvBytesPerToken) {
		if _, ok := s.notices[stream.Endpoint]; ok {
			out = append(out, stream)
		}
	}
	return out
}

// targets returns where the streams could go, with the room that routing sees.
// Its view of a target's KV cache is not known here, so slots alone bound it.
func (d *reclaimDuty) targets(streams []reclaim.Stream) []reclaim.Target {
	models := make(map[fleet.ModelRef]bool)
	seen := make(map[fleet.EndpointID]bool)
	var out []reclaim.Target
	for _, s := range streams {
		if models[s.Model] {
			continue
		}
		models[s.Model] = true
		for _, p := range d.places(s.Model) {
			if seen[p.Endpoint] {
				continue
			}
			seen[p.Endpoint] = true
			out = append(out, reclaim.Target{
				Endpoint:   p.Endpoint,
				DataCentre: p.DataCentre,
				Models:     d.modelsOf(p.Endpoint),
				FreeSlots:  p.Free,
				FreeTokens: math.MaxInt32,
			})
		}
	}
	return out
}

// spread lets each target take its part of so many streams and no more.
//
// All daemons that hold streams of the same endpoints plan at once, from the same reports. If
// each drew targets at random, all of them together would draw some more often, and streams
// would wait for seconds in one target's queue while others have free slots. If each daemon's
// streams are spread in proportion to the room, so are all of them together.
func spread(targets []reclaim.Target, streams int) {
	total := 0
	for _, t := range targets {
		total += t.FreeSlots
	}
	for i := range targets {
		t := &targets[i]
		if t.FreeSlots > 0 {
			part := (streams*t.FreeSlots + total - 1) / total
			t.FreeSlots = min(t.FreeSlots, part)
		}
	}
}

func (d *reclaimDuty) places(m fleet.ModelRef) []routing.Destination {
	var out []routing.Destination
	d.routing.ask(func(now time.Time, r *routing.Router) {
		out = r.Destinations(now, &routing.Request{Model: m}, reclaimTargets, nil)
	})
	return out
}

func (d *reclaimDuty) modelsOf(id fleet.EndpointID) []fleet.ModelRef {
	if e, ok := d.routing.current.Load().byID[id]; ok {
		return e.Models
	}
	return nil
}
