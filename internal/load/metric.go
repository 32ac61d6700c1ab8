package load

// metric is one figure by which results are compared.
type metric struct {
	name  string
	unit  string
	value func(*Result) (float64, bool) // false: not known
}

// metrics are the figures of comparisons, most important first.
var metrics = []metric{
	{"cost per 1,000 answers within target", "", costPerThousand},
	{"recomputed tokens", "tokens", known(func(r *Result) float64 { return float64(r.Engines.RecomputedTokens) })},
	{"recomputed tokens for each answer", "tokens", known(func(r *Result) float64 { return share(r.Engines.RecomputedTokens, r.Answers.Answered) })},
	{"goodput", "answers/s", known(func(r *Result) float64 { return r.Goodput })},
	{"within target", "%", known(func(r *Result) float64 { return 100 * r.Answers.WithinShare })},
	{"first token in time", "%", known(func(r *Result) float64 { return 100 * r.Answers.FirstWithinShare })},
	{"gaps in time", "%", known(func(r *Result) float64 { return 100 * r.Answers.BetweenWithinShare })},
	{"first token p50", "ms", known(func(r *Result) float64 { return r.Answers.FirstToken.P50 })},
	{"first token p95", "ms", known(func(r *Result) float64 { return r.Answers.FirstToken.P95 })},
	{"first token p99", "ms", known(func(r *Result) float64 { return r.Answers.FirstToken.P99 })},
	{"between tokens p95", "ms", known(func(r *Result) float64 { return r.Answers.BetweenTokens.P95 })},
	{"longest gap p95", "ms", known(func(r *Result) float64 { return r.Answers.LongestGap.P95 })},
	{"whole answer p95", "ms", known(func(r *Result) float64 { return r.Answers.Whole.P95 })},
	{"offered", "requests", known(func(r *Result) float64 { return float64(r.Answers.Offered) })},
	{"answered", "requests", known(func(r *Result) float64 { return float64(r.Answers.Answered) })},
	{"refused", "requests", known(func(r *Result) float64 { return float64(r.Answers.Ends.Refused) })},
	{"callers' retries", "", known(func(r *Result) float64 { return float64(r.Answers.Retries) })},
	{"broken promises", "", known(func(r *Result) float64 { return float64(r.Checks.Violations()) })},
}

// known adapts the function of a figure that every result has.
func known(value func(*Result) float64) func(*Result) (float64, bool) {
	return func(r *Result) (float64, bool) { return value(r), true }
}

func costPerThousand(r *Result) (float64, bool) {
	if r.Cost.PerThousandWithin == nil {
		return 0, false
	}
	return *r.Cost.PerThousandWithin, true
}
