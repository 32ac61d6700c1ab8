package load

// Section is the figures of one group of requests. Shares are of all requests
// that the schedule offered, so refused and lost ones count as outside the target.
type Section struct {
	Offered  int64 `json:"offered"`
	Answered int64 `json:"answered"`
	Within   int64 `json:"within"` // answered, intact and within the target

	WithinShare        float64 `json:"withinShare"`        // of the offered
	FirstWithinShare   float64 `json:"firstWithinShare"`   // first token in time, of the offered
	BetweenWithinShare float64 `json:"betweenWithinShare"` // of all gaps between tokens

	FirstToken    Distribution `json:"firstToken"`    // from the intended send time
	BetweenTokens Distribution `json:"betweenTokens"` // single gaps
	LongestGap    Distribution `json:"longestGap"`    // the longest gap of each answer
	Whole         Distribution `json:"whole"`         // from the intended send time

	Ends      Ends     `json:"ends"`
	Verdicts  Verdicts `json:"verdicts"`
	Tokens    int64    `json:"tokens"`    // received
	Retries   int64    `json:"retries"`   // attempts after the first, before acceptance
	Resumes   int64    `json:"resumes"`   // of streams after a failure
	Moves     int64    `json:"moves"`     // of streams to another entry after a moved event
	Ambiguous int64    `json:"ambiguous"` // retried after an attempt that may have run
}

// Ends counts how requests ended.
type Ends struct {
	Answered   int64 `json:"answered"`
	Refused    int64 `json:"refused"`    // failure answered before acceptance
	Failed     int64 `json:"failed"`     // failure answered after acceptance
	Lost       int64 `json:"lost"`       // accepted, then neither answered nor failed
	Unreached  int64 `json:"unreached"`  // no entry accepted or refused
	Unfinished int64 `json:"unfinished"` // the run ended first
	Unsent     int64 `json:"unsent"`     // not sent before the run ended
}

// Verdicts counts the verdicts of requests that were refused or failed.
type Verdicts struct {
	NotRun     int64 `json:"notRun"`
	MayHaveRun int64 `json:"mayHaveRun"`
	Ran        int64 `json:"ran"`
	Absent     int64 `json:"absent"` // a failure answer without a verdict
}

// NamedSection is the section of one kind of request or one workspace.
type NamedSection struct {
	Name string `json:"name"`
	Section
}
