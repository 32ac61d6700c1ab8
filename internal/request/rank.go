package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Rank orders those who hold the same request: the greater transfer number
// wins, the greater daemon id where two branches of transfers came to the same
// number. Everyone who compares holders must compare whole ranks, or two
// daemons with the same number would both win.
type Rank struct {
	Number uint64
	Holder fleet.DaemonID
}

// Less reports whether r loses against o.
func (r Rank) Less(o Rank) bool {
	if r.Number != o.Number {
		return r.Number < o.Number
	}
	return r.Holder < o.Holder
}
