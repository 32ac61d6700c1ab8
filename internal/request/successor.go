package request

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Member is a daemon that may take over requests.
type Member struct {
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
	Serving    bool // alive, with its state synchronised, and not leaving
}

// Successors ranks the members that may take over request id from self. Members of
// other data centres come first, since the instances of a data centre tend to be
// reclaimed together. Within each group they are ranked by rendezvous hashing of
// the id, so that requests are spread evenly and all hand-overs of one request
// agree on the successor.
func Successors(id fleet.RequestID, self Member, members []Member) []fleet.DaemonID {
	var far, near []string
	for _, m := range members {
		switch {
		case !m.Serving || m.Daemon == self.Daemon:
		case m.DataCentre == self.DataCentre:
			near = append(near, string(m.Daemon))
		default:
			far = append(far, string(m.Daemon))
		}
	}
	key := rendezvous.Key(string(id))
	out := make([]fleet.DaemonID, 0, len(far)+len(near))
	for _, group := range [][]string{far, near} {
		for _, d := range rendezvous.Rank(key, group, len(group)) {
			out = append(out, fleet.DaemonID(d))
		}
	}
	return out
}
