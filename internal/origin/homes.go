package origin

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	// Copies is the number of daemons that hold an origin beside the one that began the
	// stream.
	Copies = 3
	// Asked is the number of daemons that are asked for an origin: the holders of its copies,
	// the one that began the stream, and one more for a daemon that has joined since.
	Asked = 5
)

// Daemon is a serving daemon.
type Daemon struct {
	Name    string // of its machine, so that a restart doesn't change the homes
	Address string
}

// Homes chooses the daemons that hold the origin of a stream. It is immutable.
type Homes struct{ all []home }

type home struct {
	address string
	hash    uint64
}

// NewHomes returns the homes among daemons, without the one called self.
func NewHomes(self string, all []Daemon) *Homes {
	h := &Homes{}
	for _, d := range all {
		if d.Name != self {
			h.all = append(h.all, home{d.Address, rendezvous.Key(d.Name)})
		}
	}
	return h
}

// Of returns the addresses of the first n homes of a stream, best first. Daemons with the
// same view of the fleet rank them alike.
func (h *Homes) Of(k Key, n int) []string {
	var best []scored
	for i := range h.all {
		s := scored{rendezvous.ScoreHashed(uint64(k), h.all[i].hash), i}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		if at == n {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = h.all[s.home].address
	}
	return out
}

type scored struct {
	score uint64
	home  int
}
