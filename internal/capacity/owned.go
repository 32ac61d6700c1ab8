package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
)

// Owned is an instance in the cloud's list.
type Owned struct {
	cloudapi.Instance
	Ready   bool      // an engine serves on it
	LeaveAt time.Time // from a notice; zero when there is none
}

// Input is what a plan is made from. A plan ends instances that the record
// lacks only if the record was read after the list: an intent is recorded
// before it is launched, so a later record knows all that the list shows.
type Input struct {
	Demand       Demand
	Prices       []cloudapi.Price
	Owned        []Owned
	ListedAt     time.Time // when Owned was asked for
	Record       Record
	RecordReadAt time.Time // when Record was asked for
}
