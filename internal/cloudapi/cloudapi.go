// Package cloudapi holds the wire types and paths of the cloud API, shared by
// the client and the stand-in.
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

// Launch asks for one instance. The same ClientToken never buys twice.
type Launch struct {
	ClientToken string           `json:"clientToken"`
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	OnDemand    bool             `json:"onDemand"`
	Purpose     string           `json:"purpose,omitempty"`
}

// Instance is a bought machine.
type Instance struct {
	ID          fleet.InstanceID `json:"id"`
	ClientToken string           `json:"clientToken"`
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	OnDemand    bool             `json:"onDemand"`
	Address     string           `json:"address,omitempty"`
}

// Refusal answers a launch that the market refuses.
type Refusal struct {
	Error string `json:"error"`
}

// Price is what a class costs in a data centre.
type Price struct {
	Class       string           `json:"class"`
	DataCentre  fleet.DataCentre `json:"dataCentre"`
	Reclaimable float64          `json:"reclaimable"` // currency units an hour
	OnDemand    float64          `json:"onDemand"`
}

// Notice announces that an instance will be taken away.
type Notice struct {
	Seq      uint64           `json:"seq"`
	Instance fleet.InstanceID `json:"instance"`
	AtMillis int64            `json:"atMillis"` // Unix, when it vanishes
}

// Notices is a page of notices.
type Notices struct {
	Notices []Notice `json:"notices"`
	Next    uint64   `json:"next"`
}

// Reclaim makes the stand-in give notice to instances, or to a whole data centre.
type Reclaim struct {
	Instances  []fleet.InstanceID `json:"instances,omitempty"`
	DataCentre fleet.DataCentre   `json:"dataCentre,omitempty"`
	Millis     int64              `json:"millis"` // from notice to end
}

// Faults switches the stand-in's faults.
type Faults struct {
	RefuseStarts bool `json:"refuseStarts,omitempty"`
	Unavailable  bool `json:"unavailable,omitempty"`
	LoseAnswers  bool `json:"loseAnswers,omitempty"` // launches take effect, the answer is lost
}
