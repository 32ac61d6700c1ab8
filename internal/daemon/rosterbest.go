package daemon

import (
	"cmp"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// ranked is a daemon with its score for a key.
type ranked struct {
	score uint64
	peer  *peerInfo
}

// best returns the n daemons that fit and rank highest for a key, best first.
// It looks at each daemon once: the sharing of limits asks for every workspace
// every second, and sorting 340 daemons each time would cost a core's percent
// for a hundred workspaces.
func (v *rosterView) best(key uint64, n int, fits func(*peerInfo) bool) []peerInfo {
	top := make([]ranked, 0, n+1)
	for i := range v.all {
		p := &v.all[i]
		if !fits(p) {
			continue
		}
		r := ranked{score: rendezvous.Score(key, string(p.Instance)), peer: p}
		if at := r.place(top); at < n {
			top = slices.Insert(top, at, r)
			top = top[:min(n, len(top))]
		}
	}
	out := make([]peerInfo, len(top))
	for i, r := range top {
		out[i] = *r.peer
	}
	return out
}

// place returns where r belongs in top, which is sorted by falling score.
func (r ranked) place(top []ranked) int {
	at, _ := slices.BinarySearchFunc(top, r.score, func(t ranked, score uint64) int {
		return cmp.Compare(score, t.score)
	})
	return at
}
