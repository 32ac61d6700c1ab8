package shares

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Shares computes this daemon's share of one workspace's limits. It is not
// safe for concurrent use.
type Shares struct {
	cfg    Config
	self   fleet.DaemonID
	demand float64 // weight sent in the latest round
	others []member
	joined bool    // all others have replied at some time
	share  float64 // last returned by Share
}

// New returns the shares of daemon self, which joins members; these may include
// self. The share stays at the floor until all of them have replied.
func New(self fleet.DaemonID, members []fleet.DaemonID, cfg Config) *Shares {
	s := &Shares{cfg: cfg, self: self, demand: minWeight}
	s.SetMembers(members)
	return s
}

// SetMembers sets the daemons that serve the workspace; ids may include self. A
// member may be left out only once it has ended or no longer serves the
// workspace, because its share goes to the others.
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

// StartRound starts an exchange in which the caller sends demand to the others. A
// lower demand counts at once, a higher one once the others have acknowledged it.
func (s *Shares) StartRound(demand Demand) {
	s.demand = demand.weight(&s.cfg)
	for i := range s.others {
		m := &s.others[i]
		m.acked = min(m.acked, s.demand)
	}
}

// Receive records a demand sent by another daemon. It reports false if the sender
// is not a member here; its message must then not be acknowledged.
func (s *Shares) Receive(from fleet.DaemonID, demand Demand) bool {
	m := s.find(from)
	if m == nil {
		return false
	}
	m.reported = demand.weight(&s.cfg)
	return true
}

// ReceiveReply records another daemon's reply. ours is the demand of this daemon
// that the reply acknowledges, demand the other daemon's own.
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
		share = min(share, s.share) // the new member may not count this daemon yet: don't rise
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
