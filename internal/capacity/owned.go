package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
)

// Owned is an instance in the cloud's list.
type Owned struct {
	cloudapi.Instance
	Ready   bool      // an engine serves on it
	LeaveAt time.Time // when the platform reclaims it; zero without a notice
}

// Input is the input of a plan. A plan gives back instances that aren't in the
// record only if the record was read after the list. Since an intent is recorded
// before it is launched, a record read later contains every wanted instance of the
// list.
type Input struct {
	Demand       Demand
	Prices       []cloudapi.Price
	Owned        []Owned
	ListedAt     time.Time // when Owned was requested
	Record       Record
	RecordReadAt time.Time // when Record was requested
}
