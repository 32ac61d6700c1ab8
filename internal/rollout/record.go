package rollout

import "time"

// Record is what lasts of a roll-out: what a successor of the decider must know.
type Record struct {
	Order   Order     `json:"order"`
	Started time.Time `json:"started"`
	Phase   Phase     `json:"phase"`
	Asked   int       `json:"asked"`
	Exposed int       `json:"exposed"`
	Share   float64   `json:"share"`
	// Answers and Bad are the new version's.
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
	// Chance is the probability that the old version's rate of bad answers explains
	// the new one's, Route where that is least, empty for all routes together.
	Chance float64 `json:"chance"`
	Route  string  `json:"route,omitempty"`
	// Reason says why a final phase was reached.
	Reason string    `json:"reason,omitempty"`
	Ended  time.Time `json:"ended,omitzero"`
}

// Key tells it apart from the service's other roll-outs.
func (r *Record) Key() Key { return Key{Target: r.Order.Target, Started: r.Started.UnixMilli()} }

// Deadline is when the roll-out must have ended.
func (r *Record) Deadline() time.Time { return r.Started.Add(r.Order.Duration) }
