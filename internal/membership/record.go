package membership

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Record is the part of a Member that is fixed for one run. It is immutable, so
// packets and tables may share it.
type Record struct {
	Daemon     fleet.DaemonID
	Caller     string
	Peer       string
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// run returns a short identifier of the run, so that updates need not carry the
// daemon's id.
func (r *Record) run() uint32 { return uint32(xxh3.HashString(string(r.Daemon))) }

func recordOf(m Member) *Record {
	return &Record{
		Daemon:     m.Daemon,
		Caller:     m.Caller,
		Peer:       m.Peer,
		DataCentre: m.DataCentre,
		Region:     m.Region,
	}
}
