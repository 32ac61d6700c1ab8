package load

import "fmt"

// Comparison is the figures of several results side by side.
type Comparison struct {
	Names []string `json:"names"`
	Rows  []Row    `json:"rows"`
	// Warnings say why the figures may not be comparable.
	Warnings []string `json:"warnings,omitempty"`
}

// Row is one figure of all results.
type Row struct {
	Name  string `json:"name"`
	Unit  string `json:"unit,omitempty"`
	Cells []Cell `json:"cells"`
}

// Cell is one figure of one result.
type Cell struct {
	Known bool    `json:"known"`
	Value float64 `json:"value"`
	// Ratio is the value divided by that of the first result; 0 if either is not
	// known or the first is 0.
	Ratio float64 `json:"ratio"`
}

// Compare compares results with the first one.
func Compare(results ...*Result) (*Comparison, error) {
	if len(results) < 2 {
		return nil, Error.New("a comparison needs two results")
	}
	c := &Comparison{Warnings: warnings(results)}
	for i, r := range results {
		c.Names = append(c.Names, displayName(r, i))
	}
	for _, m := range metrics {
		c.Rows = append(c.Rows, newRow(m, results))
	}
	return c, nil
}

// displayName returns the name of a result in tables, charts and warnings. i is
// its index.
func displayName(r *Result, i int) string {
	return orElse(r.Name, orElse(r.Policy, fmt.Sprintf("result %d", i+1)))
}

func newRow(m metric, results []*Result) Row {
	row := Row{Name: m.name, Unit: m.unit}
	for _, r := range results {
		var c Cell
		c.Value, c.Known = m.value(r)
		row.Cells = append(row.Cells, c)
	}
	first := row.Cells[0]
	for i := range row.Cells {
		if c := &row.Cells[i]; c.Known && first.Known && first.Value != 0 {
			c.Ratio = c.Value / first.Value
		}
	}
	return row
}

// warnings returns a warning for each setting in which a run differs from the
// first one.
func warnings(results []*Result) []string {
	var all []string
	a := &results[0].Settings
	for i, r := range results[1:] {
		b := &r.Settings
		name := displayName(r, i+1)
		warn := func(differs bool, what string) {
			if differs {
				all = append(all, fmt.Sprintf("%s has another %s than %s", name, what, displayName(results[0], 0)))
			}
		}
		warn(a.Seed != b.Seed, "seed")
		warn(a.Mix != b.Mix, "mix")
		warn(a.Rate != b.Rate, "rate")
		warn(a.Seconds != b.Seconds, "duration")
		warn(a.TargetScale != b.TargetScale || a.TokenScale != b.TokenScale, "scale")
		warn(a.ScheduleHash != b.ScheduleHash, "schedule of requests")
		warn(results[0].GoVersion != r.GoVersion, "Go version")
	}
	return all
}
