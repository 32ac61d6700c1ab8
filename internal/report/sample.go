package report

import "time"

// Sample is one reading of one daemon's metrics.
type Sample struct {
	Daemon string    `json:"daemon"` // address that was read
	At     time.Time `json:"at"`
	Values []Value   `json:"values"`
}

// Value is the value of one metric with one set of labels.
type Value struct {
	Metric string  `json:"metric"`           // name without labels
	Labels string  `json:"labels,omitempty"` // as written between the braces
	Value  float64 `json:"value"`
}
