package origin

import (
	"cmp"
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
	// Writers is the number of daemons that store origins in a larger fleet, for the others too.
	Writers = 50
)

// Daemon is a serving daemon.
type Daemon struct {
	Name    string // of its machine, so that a restart doesn't change the homes
	Address string
}

// Homes chooses the daemons that hold the origin of a stream, and the one that stores the origins
// of a daemon's streams. It is immutable.
type Homes struct {
	all    []home
	writer string // empty for this daemon itself
}

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
	h.writer = writerOf(self, all)
	return h
}

// writersKey is the key for which daemons are ranked as writers.
var writersKey = rendezvous.Key("writers of origins")

// writerOf returns the address of the daemon that stores the origins of the streams of another
// one, or the empty address for the daemon itself.
func writerOf(self string, all []Daemon) string {
	if len(all) <= Writers {
		return ""
	}
	own, best := rendezvous.Key(self), make([]scored, len(all))
	for i, d := range all {
		best[i] = scored{rendezvous.ScoreHashed(writersKey, rendezvous.Key(d.Name)), i}
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var writer scored
	for _, s := range best[:Writers] {
		d := &all[s.home]
		if d.Name == self {
			return ""
		}
		if score := rendezvous.ScoreHashed(own, rendezvous.Key(d.Name)); score >= writer.score {
			writer = scored{score, s.home}
		}
	}
	return all[writer.home].Address
}

// Writer returns the address of the daemon that stores the origins of this daemon's streams; self
// says that this daemon does.
func (h *Homes) Writer() (address string, self bool) { return h.writer, h.writer == "" }

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
