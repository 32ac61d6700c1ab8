// Package listapi holds the wire types and paths of the instance list, shared
// by the client and by the stand-in that replaces it in tests. The list lags
// behind the actual state of the instances.
package listapi

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Paths of the API.
const (
	ListPath   = "/list"        // GET: List
	FaultsPath = "/list/faults" // POST Faults (stand-in only)
)

// Entry is an entry instance, where a daemon runs.
type Entry struct {
	Instance   fleet.InstanceID `json:"instance"`
	Address    string           `json:"address"` // for callers, host:port
	Peer       string           `json:"peer"`    // for other daemons, host:port
	DataCentre fleet.DataCentre `json:"dataCentre"`
	Region     fleet.Region     `json:"region"`
	State      fleet.State      `json:"state"`
}

// List holds the instances that were live or leaving at TakenAtMillis, Unix time.
type List struct {
	TakenAtMillis int64            `json:"takenAtMillis"`
	Entries       []Entry          `json:"entries"`
	Endpoints     []fleet.Endpoint `json:"endpoints"`
}

// Faults are the faults that the stand-in simulates.
type Faults struct {
	LagMillis   int  `json:"lagMillis"`
	Unavailable bool `json:"unavailable,omitempty"`
}
