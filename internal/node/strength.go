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

// linkPerCore is the link, in megabits a second, that goes with a core: a hub
// of 300 daemons sends some 100.
const linkPerCore = 250

// strength grades a machine from 0 to 9 by its weaker side.
func strength(l LimitSettings) int {
	if l.Cores == 0 || l.LinkMbps == 0 {
		return 0
	}
	return int(min(10*min(l.Cores, l.LinkMbps/linkPerCore), 9))
}

// newID names a run of a daemon. The name begins with the machine's strength,
// so that all who know the daemon know that as well.
func newID(l LimitSettings) fleet.DaemonID {
	return fleet.DaemonID(fmt.Sprintf("%d-%s", strength(l), uuid.NewString()))
}

// strengthOf reads a daemon's strength off its name; 0 where there is none.
func strengthOf(id fleet.DaemonID) int {
	grade, _, _ := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(grade)
	if err != nil {
		return 0
	}
	return n
}

// strongest returns the n members that should work for all others: those on
// the strongest machines, and among equals the same for everybody.
func strongest(all []membership.Member, n int) []membership.Member {
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(strengthOf(b.Daemon), strengthOf(a.Daemon)),
			cmp.Compare(rendezvous.Score(hubKey, string(b.Daemon)), rendezvous.Score(hubKey, string(a.Daemon))),
		)
	})
	return ranked[:min(n, len(ranked))]
}
