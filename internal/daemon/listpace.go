package daemon

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
)

const (
	// listFreely is the size up to which the instance list is read as often as
	// the settings ask: some 60 instances.
	listFreely = 16 << 10
	// listBytesPerSecond bounds what reading a larger one costs, of the 7 KB a
	// second that a daemon may spend for control in all.
	listBytesPerSecond = 1500
	// listLongest bounds the age that pacing adds: the list alone says which
	// engines are new and what they hold.
	listLongest = 5 * time.Minute
)

// JSON of an entry, an endpoint and a model of it, less their texts; bytes.
const (
	entryOverhead    = 83
	endpointOverhead = 142
	modelOverhead    = 39
)

// listBytes returns about how many bytes a list takes on the wire.
func listBytes(l *listapi.List) int {
	n := 0
	for i := range l.Entries {
		e := &l.Entries[i]
		n += entryOverhead + len(e.Instance) + len(e.Address) + len(e.Peer) + len(e.DataCentre) + len(e.Region) + len(e.State)
	}
	for i := range l.Endpoints {
		n += endpointBytes(&l.Endpoints[i])
	}
	return n
}

func endpointBytes(e *fleet.Endpoint) int {
	n := endpointOverhead + len(e.ID) + len(e.Instance) + len(e.Address) + len(e.DataCentre) + len(e.Region)
	n += len(e.Kind) + len(e.Service) + len(e.Class) + len(e.State)
	for _, m := range e.Models {
		n += modelOverhead + len(m.Model) + len(m.Adapter) + len(m.Version)
	}
	return n
}

// listPause returns how long a list of that size stays in force. Reading
// 250 KB every two seconds would take the bytes of all of control twenty times
// over. Meanwhile notices tell of endpoints that leave and failed calls of
// those that are gone, so where notices are away, or this daemon decides for
// the whole fleet, the list is read as often as in a small fleet.
func listPause(interval time.Duration, bytes int, mustKnow bool) time.Duration {
	if mustKnow || bytes <= listFreely {
		return interval
	}
	paced := time.Duration(float64(bytes) / listBytesPerSecond * float64(time.Second))
	return max(interval, min(paced, listLongest))
}
