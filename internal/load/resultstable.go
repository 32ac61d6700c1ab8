package load

import "strconv"

// ResultsTable returns the main figures of results, with a row for each run.
func ResultsTable(results []*Result) *Table {
	t := &Table{Head: []string{"policy", "load", "cost per 1,000 within", "within target", "first token in time", "gaps in time",
		"goodput /s", "recomputed tokens", "first token p95 ms", "refused", "lost", "broken promises"}}
	for _, r := range results {
		t.Rows = append(t.Rows, resultRow(r))
	}
	return t
}

func resultRow(r *Result) []string {
	cost, ok := costPerThousand(r)
	a := &r.Answers
	return []string{
		r.Policy,
		loadText(&r.Settings),
		Cell{Known: ok, Value: cost}.text(),
		percent(a.WithinShare),
		percent(a.FirstWithinShare),
		percent(a.BetweenWithinShare),
		formatValue(r.Goodput),
		strconv.FormatInt(r.Engines.RecomputedTokens, 10),
		formatValue(a.FirstToken.P95),
		strconv.FormatInt(a.Ends.Refused, 10),
		strconv.FormatInt(r.Checks.Lost+r.Checks.FailedAccepted, 10),
		strconv.FormatInt(r.Checks.Violations(), 10),
	}
}

// loadText returns the load as a share of the stated capacity, or the rate if no
// capacity was stated.
func loadText(s *Settings) string {
	if s.Load > 0 {
		return percent(s.Load)
	}
	return formatValue(s.Rate) + " /s"
}

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

// WorkspacesTable returns the p95 latency of the first token of each workspace,
// in milliseconds, with a row for each run. It shows the effect of one
// workspace's load on the others.
func WorkspacesTable(results []*Result) *Table {
	t := &Table{Head: []string{"run"}}
	if len(results) == 0 {
		return t
	}
	for _, w := range results[0].Workspaces {
		t.Head = append(t.Head, w.Name)
	}
	for i, r := range results {
		row := []string{displayName(r, i)}
		for _, name := range t.Head[1:] {
			row = append(row, workspaceP95(r, name).text())
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func workspaceP95(r *Result, name string) Cell {
	for _, w := range r.Workspaces {
		if w.Name == name {
			return Cell{Known: w.FirstToken.Count > 0, Value: w.FirstToken.P95}
		}
	}
	return Cell{}
}
