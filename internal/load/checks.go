package load

// Checks counts broken promises. All but Open are 0 in a sound run.
type Checks struct {
	// Lost is accepted requests that ended with neither their whole answer nor
	// a verdict.
	Lost int64 `json:"lost"`
	// FailedAccepted is accepted requests that ended with a verdict only.
	FailedAccepted int64 `json:"failedAccepted"`
	// Open is accepted requests that were cut off by the end of the run. They
	// are no broken promise yet, but many of them are a reason to drain longer.
	Open int64 `json:"open"`
	// DuplicatedTokens and MissingTokens are found by the offsets of tokens.
	DuplicatedTokens int64 `json:"duplicatedTokens"`
	MissingTokens    int64 `json:"missingTokens"`
	// WrongLength is answers that don't have as many tokens as were asked for.
	WrongLength int64 `json:"wrongLength"`
	// WrongText is answers that differ from an earlier one to the same prompt.
	WrongText int64 `json:"wrongText"`
	// NoVerdict is failure answers without a verdict.
	NoVerdict int64 `json:"noVerdict"`

	Orders OrderChecks `json:"orders"`
}

// OrderChecks compares what callers of non-idempotent requests were told with
// what the services ran.
type OrderChecks struct {
	// Checked says that the services could be asked.
	Checked  bool  `json:"checked"`
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// RanTwice is orders that ran more than once.
	RanTwice int64 `json:"ranTwice"`
	// NotRunButRan is orders that ran though each attempt was told not-run.
	NotRunButRan int64 `json:"notRunButRan"`
	// AnsweredButNotRun is answered orders of which no service knows.
	AnsweredButNotRun int64 `json:"answeredButNotRun"`
}

// Broken returns how many promises were broken.
func (c *Checks) Broken() int64 {
	o := &c.Orders
	return c.Lost + c.FailedAccepted + c.DuplicatedTokens + c.MissingTokens + c.WrongLength + c.WrongText + c.NoVerdict +
		o.RanTwice + o.NotRunButRan + o.AnsweredButNotRun
}
