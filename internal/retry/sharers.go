package retry

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// Peak is a number of daemons that may have sent retries, and when there were that many, by
// the fleet's clock.
type Peak struct {
	Daemons int       `json:"daemons"`
	At      time.Time `json:"at"`
}

// peakLifetime is how long a peak counts for daemons that start later: as long as the
// membership protocol keeps daemons that are gone.
const peakLifetime = 4 * time.Hour

// settleTime is how long it takes at most until daemons know of one that starts or leaves,
// and divide the slack anew.
const settleTime = 3 * time.Second

// Sharers counts the daemons that the slack is divided by: all that may send retries now or
// have sent some within the window, as far as this daemon knows. A daemon that is gone may be
// serving behind a cut. It is not safe for concurrent use.
type Sharers struct {
	window   time.Duration
	started  time.Time
	leftAt   map[fleet.InstanceID]time.Time // when a daemon was first seen to have left
	prior    Peak                           // from before this process started
	restored bool                           // prior was read, or there is none
	self     fleet.InstanceID
	now      time.Time
	count    int
	rank     int // of this daemon among those counted, by instance
	peak     Peak
	serving  map[fleet.InstanceID]fleet.DaemonID // as of the last update
}

// NewSharers returns a Sharers for budgets with a window, of a process that started at a time.
// first means that the whole system starts for the first time.
func NewSharers(self fleet.InstanceID, window time.Duration, started time.Time, first bool) *Sharers {
	return &Sharers{self: self, window: window, started: started, restored: first}
}

// Restore takes the peak that was stored before this process started, the zero Peak if there
// is none. The membership protocol doesn't send daemons that are gone to a new process.
func (s *Sharers) Restore(p Peak) { s.prior, s.restored = p, true }

// Restored reports whether Restore was called, or isn't needed.
func (s *Sharers) Restored() bool { return s.restored }

// Update counts the daemons of a view, at a time by this process's clock and by the fleet's.
// It reports whether callers may be moving here from other daemons: one of the last view no
// longer serves, or one that is gone may serve behind a cut and end there.
func (s *Sharers) Update(now, fleetNow time.Time, members []membership.Member) (moving bool) {
	last := s.serving
	s.serving = make(map[fleet.InstanceID]fleet.DaemonID, len(last))
	left := map[fleet.InstanceID]time.Time{}
	s.count, s.rank, s.now = 0, 0, now
	for i := range members {
		m := &members[i]
		switch m.State {
		case membership.Alive, membership.Suspect:
			s.serving[m.Instance] = m.Daemon
		case membership.Dead:
			moving = true
		case membership.Left:
			left[m.Instance] = s.leaveOf(m.Instance)
			if now.Sub(left[m.Instance]) > s.window+settleTime {
				continue
			}
		}
		s.count++
		if m.Instance < s.self {
			s.rank++
		}
	}
	s.leftAt = left
	if fleetNow.Sub(s.prior.At) > peakLifetime {
		s.prior = Peak{}
	}
	s.peak = s.prior
	if s.count >= s.prior.Daemons {
		s.peak = Peak{s.count, fleetNow}
	}
	for instance, daemon := range last {
		newest, serves := s.serving[instance]
		moving = moving || !serves || newest != daemon
	}
	return moving
}

// leaveOf returns when a daemon was first seen to have left.
func (s *Sharers) leaveOf(id fleet.InstanceID) time.Time {
	if at, seen := s.leftAt[id]; seen {
		return at
	}
	return s.now
}

// Offset returns this daemon's offset for Budgets.SetDaemons.
func (s *Sharers) Offset() float64 {
	if s.Daemons() == 0 {
		return 0
	}
	return (float64(s.rank) + 0.5) / float64(max(s.count, s.rank+1))
}

// Daemons returns the number by which the slack is divided, 0 while it is unknown.
func (s *Sharers) Daemons() int {
	finding := s.now.Sub(s.started) < settleTime // the others, one by one
	if !s.restored || finding && s.prior.Daemons == 0 {
		return 0
	}
	return max(s.count, s.prior.Daemons)
}

// Peak returns the peak to be stored for processes that start later.
func (s *Sharers) Peak() Peak { return s.peak }
