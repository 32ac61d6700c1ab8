package budget

import "time"

// Result is what a call's end shows of the API's health.
type Result uint8

// The results.
const (
	// Failed: no answer, a late one, or one that reports a fault of the API.
	Failed Result = iota
	// Answered: the API works, whatever the answer says.
	Answered
	// Limited: the API works and asked to wait for Outcome.After.
	Limited
	// Abandoned: the caller left, which shows nothing of the API.
	Abandoned
	// Lost: the API works, and the condition of a write didn't hold.
	Lost
)

// Outcome is the end of a call, for Report.
type Outcome struct {
	Result Result
	After  time.Duration // of Limited
}
