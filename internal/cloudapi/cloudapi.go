// Package cloudapi holds the wire types and paths of the cloud API, shared by
// the client and by the stand-in that replaces the cloud in tests. Times are in
// milliseconds.
package cloudapi

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Paths of the API.
const (
	InstancesPath = "/cloud/instances" // GET: []Instance; POST Launch: Instance, 409 Refusal; DELETE /{id}: 204
	NoticesPath   = "/cloud/notices"   // GET ?since=SEQ&wait=MILLIS: Notices
	PricesPath    = "/cloud/prices"    // GET: []Price
	FaultsPath    = "/cloud/faults"    // POST Faults
	ReclaimPath   = "/cloud/reclaim"   // POST Reclaim (stand-in only): gives notice
)

// Launch asks for one instance. It is idempotent: launches with the same
// ClientToken buy one instance.
type Launch struct {
	ClientToken string           `json:"clientToken"`
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	OnDemand    bool             `json:"onDemand"`
	Purpose     string           `json:"purpose,omitempty"`
}

// Instance is a machine that was bought.
type Instance struct {
	ID          fleet.InstanceID `json:"id"`
	ClientToken string           `json:"clientToken"`
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	OnDemand    bool             `json:"onDemand"`
	Address     string           `json:"address,omitempty"`
}

// Refusal is the answer to a launch that the cloud refuses, such as for lack
// of capacity.
type Refusal struct {
	Error string `json:"error"`
}

// Price holds the prices of an instance class in a data centre, in currency units
// an hour.
type Price struct {
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	Reclaimable float64          `json:"reclaimable"`
	OnDemand    float64          `json:"onDemand"`
}

// Notice announces that the cloud will reclaim an instance.
type Notice struct {
	Seq      uint64           `json:"seq"`
	Instance fleet.InstanceID `json:"instance"`
	AtMillis int64            `json:"atMillis"` // Unix time at which the instance ends
}

// Notices is a page of notices. Next is the since of the next request.
type Notices struct {
	Notices []Notice `json:"notices"`
	Next    uint64   `json:"next"`
}

// Reclaim makes the stand-in give notice to instances, or to a whole data centre.
type Reclaim struct {
	Instances  []fleet.InstanceID `json:"instances,omitempty"`
	DataCentre fleet.DataCentre   `json:"dataCentre,omitempty"`
	Millis     int64              `json:"millis"` // from the notice until the instance ends
}

// Faults are the faults that the stand-in simulates.
type Faults struct {
	RefuseStarts bool `json:"refuseStarts,omitempty"` // refuses launches of reclaimable instances
	Unavailable  bool `json:"unavailable,omitempty"`
	LoseAnswers  bool `json:"loseAnswers,omitempty"` // launches take effect, the answer is lost
}
