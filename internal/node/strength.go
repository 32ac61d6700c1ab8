package node

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// linkPerCore is the link, in megabits a second, that is needed per core: a hub of 300
// daemons sends about 100.
const linkPerCore = 250

// strength grades a machine from 0 to 9 by the scarcer of its cores and its link.
func strength(l LimitSettings) int {
	if l.Cores == 0 || l.LinkMbps == 0 {
		return 0
	}
	return int(min(10*min(l.Cores, l.LinkMbps/linkPerCore), 9))
}

// hubStrength is the lowest strength of a machine that can be the hub of hundreds: a fifth
// of a core and 50 Mbit/s.
const hubStrength = 2

// newID returns a daemon's ID for one run. It begins with the machine's strength, so that
// all other daemons have that as well.
func newID(l LimitSettings) fleet.DaemonID {
	return fleet.DaemonID(fmt.Sprintf("%d-%s", strength(l), uuid.NewString()))
}

// strengthOf returns the strength in a daemon's ID; 0 where there is none.
func strengthOf(id fleet.DaemonID) int {
	grade, _, _ := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(grade)
	if err != nil {
		return 0
	}
	return n
}

// graded is a member with its ranking keys.
type graded struct {
	member   *membership.Member
	strength int
	score    uint64 // orders members of equal strength
}

// strongest returns the n members on the strongest machines; among equals the choice is
// the same at every daemon. Each member is graded once: grading at each comparison of the
// sort takes seven times as long.
func strongest(all []membership.Member, n int) []membership.Member {
	ranked := make([]graded, len(all))
	for i := range all {
		id := all[i].Daemon
		ranked[i] = graded{&all[i], strengthOf(id), rendezvous.Score(hubKey, string(id))}
	}
	return topRanked(ranked, n)
}

// topRanked returns the n members of the highest strength, by score among equals.
func topRanked(ranked []graded, n int) []membership.Member {
	slices.SortFunc(ranked, func(a, b graded) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(b.score, a.score))
	})
	out := make([]membership.Member, min(n, len(ranked)))
	for i := range out {
		out[i] = *ranked[i].member
	}
	return out
}
