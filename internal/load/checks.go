package load

// Checks counts violations of the guarantees to callers. All counts of a run are
// 0 unless the deployment has a fault, except for Open.
type Checks struct {
	// Lost is accepted requests for which neither the whole answer nor a failure
	// was received.
	Lost int64 `json:"lost"`
	// FailedAccepted is accepted requests that ended with a failure.
	FailedAccepted int64 `json:"failedAccepted"`
	// Open is accepted requests that were unfinished at the end of the run. They
	// are no violations, but many of them are a reason for a longer drain.
	Open int64 `json:"open"`
	// DuplicatedTokens and MissingTokens are detected by the offsets of tokens.
	DuplicatedTokens int64 `json:"duplicatedTokens"`
	MissingTokens    int64 `json:"missingTokens"`
	// WrongLength is answers with another number of tokens than requested.
	WrongLength int64 `json:"wrongLength"`
	// WrongText is answers that differ from an earlier one to the same prompt.
	WrongText int64 `json:"wrongText"`
	// NoVerdict is failure answers without a verdict.
	NoVerdict int64 `json:"noVerdict"`

	Orders OrderChecks `json:"orders"`
}

// OrderChecks compares the answers to non-idempotent requests, the orders, with
// the executions that the services counted.
type OrderChecks struct {
	// Checked is whether the executions could be read from the services.
	Checked  bool  `json:"checked"`
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// RanTwice is orders that ran more than once.
	RanTwice int64 `json:"ranTwice"`
	// NotRunButRan is orders that ran although the verdict of each attempt was
	// not-run.
	NotRunButRan int64 `json:"notRunButRan"`
	// AnsweredButNotRun is answered orders that no service counted.
	AnsweredButNotRun int64 `json:"answeredButNotRun"`
}

// Violations returns the number of violations.
func (c *Checks) Violations() int64 {
	o := &c.Orders
	return c.Lost + c.FailedAccepted + c.DuplicatedTokens + c.MissingTokens + c.WrongLength + c.WrongText + c.NoVerdict +
		o.RanTwice + o.NotRunButRan + o.AnsweredButNotRun
}
