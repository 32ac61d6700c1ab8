package rollout

import "time"

// Record is the persistent state of a roll-out, from which a new decider continues.
type Record struct {
	Order   Order     `json:"order"`
	Started time.Time `json:"started"`
	Phase   Phase     `json:"phase"`
	Asked   int       `json:"asked"`
	Exposed int       `json:"exposed"`
	Share   float64   `json:"share"`
	// Answers and Bad count the new version's latest answers and the bad ones among
	// them.
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
	// Chance is the p-value of the comparison: the probability that the old version's
	// rate of bad answers explains the new version's. It is the lowest one over all
	// routes and windows; Route is the route that it is of, empty for all together.
	Chance float64 `json:"chance"`
	Route  string  `json:"route,omitempty"`
	// Reason says why the final phase was reached.
	Reason string    `json:"reason,omitempty"`
	Ended  time.Time `json:"ended,omitzero"`
}

// Key identifies the roll-out among those of the service.
func (r *Record) Key() Key { return Key{Target: r.Order.Target, Started: r.Started.UnixMilli()} }

// Deadline is when the roll-out must have ended.
func (r *Record) Deadline() time.Time { return r.Started.Add(r.Order.Duration) }
