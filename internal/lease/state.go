package lease

import (
	"encoding/json"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// State is the value of a lease's object.
type State struct {
	Holder         fleet.DaemonID `json:"holder,omitempty"` // the last one, if Released
	Released       bool           `json:"released,omitempty"`
	DurationMillis int64          `json:"durationMillis,omitempty"`
	OrderMillis    int64          `json:"orderMillis,omitempty"` // the holder's Config.OrderTimeout
	Write          uint64         `json:"write"`                 // number of the holder's write, by which it recognises its own
	Fencing        uint64         `json:"fencing,omitempty"`     // from the first renewal on: the version of the acquisition
}

func (s State) duration() time.Duration { return time.Duration(s.DurationMillis) * time.Millisecond }

func (s State) orderTimeout() time.Duration { return time.Duration(s.OrderMillis) * time.Millisecond }

// Observation is a lease's object as it was read. Version 0 means that there is
// none.
type Observation struct {
	Version uint64
	State   State
}

// ObservationOf decodes an object of Kind. One that can't be decoded counts as a
// lease of an unknown holder, which others wait to expire as usual.
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
