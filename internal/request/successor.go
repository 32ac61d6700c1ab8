package request

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Member is a daemon that might take requests over.
type Member struct {
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
	Serving    bool // alive, caught up and not leaving
}

// Successors ranks the members that may take request id over from self: by
// rendezvous over the id, so that a wave of requests spreads evenly and two
// hand-overs of one request agree; those of other data centres first, since a
// data centre tends to leave as a whole.
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
