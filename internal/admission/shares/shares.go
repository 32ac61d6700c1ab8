package shares

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Shares computes this daemon's share of one workspace's limits. It is not
// safe for concurrent use.
type Shares struct {
	cfg    Config
	self   fleet.DaemonID
	demand float64 // as told in the latest round
	others []member
	joined bool    // all others have answered at some time
	share  float64 // as returned last
}

// New returns the shares of a daemon that joins members, self included or not.
// It stays at the floor until all of them have answered.
func New(self fleet.DaemonID, members []fleet.DaemonID, cfg Config) *Shares {
	s := &Shares{cfg: cfg, self: self, demand: minWeight}
	s.SetMembers(members)
	return s
}

// SetMembers says which daemons serve the workspace, self included or not. A
// member may be left out only when it is known to be gone or to serve the
// workspace no longer: its share goes to the others.
func (s *Shares) SetMembers(ids []fleet.DaemonID) {
	others := make([]member, 0, len(ids))
	for _, id := range ids {
		if id == s.self {
			continue
		}
		if m := s.find(id); m != nil {
			others = append(others, *m)
			continue
		}
		others = append(others, member{id: id})
	}
	s.others = others
}

// StartRound starts an exchange: demand is what will be told to the others. A lower
// demand counts at once, a higher one when the others have acknowledged it.
func (s *Shares) StartRound(demand Demand) {
	s.demand = demand.weight(&s.cfg)
	for i := range s.others {
		m := &s.others[i]
		m.acked = min(m.acked, s.demand)
	}
}

// Receive records a demand that another daemon told us. It reports false when the
// other is no member here; such a telling must not be answered as heard.
func (s *Shares) Receive(from fleet.DaemonID, demand Demand) bool {
	m := s.find(from)
	if m == nil {
		return false
	}
	m.reported = demand.weight(&s.cfg)
	return true
}

// ReceiveReply records another daemon's answer to our telling of ours; demand is its
// own, sent with the answer.
func (s *Shares) ReceiveReply(from fleet.DaemonID, ours, demand Demand) {
	if !s.Receive(from, demand) {
		return
	}
	m := s.find(from)
	m.acked = min(ours.weight(&s.cfg), s.demand)
	m.replied = true
}

// Share returns this daemon's share in (0,1].
func (s *Shares) Share() float64 {
	equal := 1 / float64(len(s.others)+1)
	minShare := s.cfg.Floor * equal
	own, others, allReplied := s.demand, 0.0, true
	for i := range s.others {
		m := &s.others[i]
		others += m.reported
		if m.replied {
			own = min(own, m.acked)
		}
		allReplied = allReplied && m.replied
	}
	share := minShare + (1-s.cfg.Floor)*own/(own+others)
	switch {
	case allReplied:
		s.joined = true
	case s.joined:
		share = min(share, s.share) // the newcomer may not count us yet: take no more
	default:
		share = minShare
	}
	s.share = share
	return share
}

func (s *Shares) find(id fleet.DaemonID) *member {
	for i := range s.others {
		if s.others[i].id == id {
			return &s.others[i]
		}
	}
	return nil
}
