package lease

import (
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// State is the value of a lease's object.
type State struct {
	Holder         fleet.DaemonID `json:"holder,omitempty"` // empty where Released
	Released       bool           `json:"released,omitempty"`
	DurationMillis int64          `json:"durationMillis,omitempty"`
	OrderMillis    int64          `json:"orderMillis,omitempty"` // the longest order the holder may have under way
	Write          uint64         `json:"write"`                 // number of the holder's write, by which it knows its own
	Fencing        uint64         `json:"fencing,omitempty"`     // after the first renewal: the version that won the lease
}

func (s State) duration() time.Duration { return time.Duration(s.DurationMillis) * time.Millisecond }

func (s State) orderTimeout() time.Duration { return time.Duration(s.OrderMillis) * time.Millisecond }

// Observation is a lease's object as it was read. Version 0 is no object.
type Observation struct {
	Version uint64
	State   State
}

// ObservationOf reads an object of Kind. A value that can't be read counts as
// held by nobody known: it is waited out like any other.
func ObservationOf(object objectapi.Object) Observation {
	out := Observation{Version: object.Version}
	if object.Deleted {
		return Observation{}
	}
	if err := json.Unmarshal(object.Value, &out.State); err != nil {
		out.State = State{}
	}
	return out
}

// Value returns the state's encoding for the store.
func (s State) Value() (json.RawMessage, error) {
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}
