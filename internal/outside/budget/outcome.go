package budget

import "time"

// Result is how a call ended, as far as the API's health goes.
type Result uint8

// The results.
const (
	// Failed: no answer, a late one, or one that says the API is unwell.
	Failed Result = iota
	// Answered: the API works, whatever the answer says.
	Answered
	// Limited: the API works and asked to wait for Outcome.After.
	Limited
	// Abandoned: the caller went away, which says nothing about the API.
	Abandoned
	// Lost: the API works, and a conditional write lost its condition.
	Lost
)

// Outcome is what Report is told.
type Outcome struct {
	Result Result
	After  time.Duration // of Limited
}
