package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Rank orders the holders of a request: by the transfer number, then by the daemon
// id, since two daemons may get the same number in concurrent transfers. Holders
// must be compared by their whole ranks: by number alone, both of those would
// remain holders.
type Rank struct {
	Number uint64
	Holder fleet.DaemonID
}

// Less reports whether r is lower than o.
func (r Rank) Less(o Rank) bool {
	if r.Number != o.Number {
		return r.Number < o.Number
	}
	return r.Holder < o.Holder
}
