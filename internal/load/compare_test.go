package load

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func sampleResult(policy string, load, p95 float64, recomputed int64) *Result {
	r := &Result{Schema: Schema, Policy: policy, Goodput: 50}
	r.Settings.Load, r.Settings.Rate = load, 100*load
	r.Answers.Answered, r.Answers.Offered = 100, 110
	r.Answers.FirstToken = Distribution{Count: 100, P95: p95}
	r.Engines.RecomputedTokens, r.Engines.Count = recomputed, 4
	r.Targets.FirstTokenMillis = 450
	return r
}

func TestCompareGivesRatiosAndWarnings(t *testing.T) {
	a, b := sampleResult("least", 1, 400, 1000), sampleResult("ours", 1, 200, 300)
	b.Settings.Seed = 9
	cost := 2.5
	b.Cost = Cost{Known: true, Total: 5, PerThousandWithin: &cost}
	c, err := Compare(a, b)
	assert.NilError(t, err)
	assert.DeepEqual(t, c.Warnings, []string{"ours has another seed than least"})
	var out bytes.Buffer
	assert.NilError(t, c.WriteMarkdown(&out))
	for _, line := range []string{
		"| figure | least | ours |",
		"| cost per 1,000 answers within target | – | 2.5 |",
		"| recomputed tokens, tokens | 1000 | 300 (×0.30) |",
		"| first token p95, ms | 400 | 200 (×0.50) |",
		"Warning: ours has another seed than least.",
	} {
		assert.Assert(t, strings.Contains(out.String(), line+"\n"), "%s\nis not in\n%s", line, out.String())
	}
	_, err = Compare(a)
	assert.ErrorContains(t, err, "two results")
}

func TestChartsHaveASeriesForEachPolicy(t *testing.T) {
	results := []*Result{
		sampleResult("ours", 1.3, 800, 300), sampleResult("least", 0.3, 120, 900),
		sampleResult("ours", 0.3, 100, 200), sampleResult("least", 1.3, 3000, 2000),
	}
	c := LatencyChart(results)
	assert.Equal(t, c.XLabel, "load, % of stated capacity")
	assert.Equal(t, len(c.Series), 2)
	assert.Equal(t, c.Series[0].Name, "ours")
	assert.Equal(t, c.Series[0].Points[0].Y, 100.0)
	assert.Equal(t, c.Marks[0].Y, 450.0)
	assert.Equal(t, RecomputedChart(results).Series[1].Points[1].Y, 2000.0)
	assert.Equal(t, len(CostChart(results).Series), 0)
	var svg bytes.Buffer
	assert.NilError(t, PlotLatency(&svg, results))
	assert.Assert(t, strings.HasPrefix(svg.String(), "<svg") && strings.Contains(svg.String(), "target 450 ms"))
}

// Guards against answers that differ between policies for the same prompts: no
// check within one run can detect that.
func TestExperimentComparesTextsAcrossPolicies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		current := newDeployment()
		o := options(current)
		o.Capacity = 100
		o.Caller.Transport = current
		e := Experiment{
			Policies: []string{"plain", "other"}, Loads: []float64{0.5, 1}, Options: o,
			Deploy: func(_ context.Context, policy string) (Target, func(), error) {
				log = append(log, "start "+policy)
				current.salt = policy[:1]
				if len(log) > 3 {
					current.salt = "p"
				}
				return o.Target, func() { log = append(log, "stop") }, nil
			},
		}
		results, err := e.Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(log, " "), "start plain stop start other stop start plain stop start other stop")
		assert.Equal(t, results[0].Checks.WrongText, int64(0))
		// The prompts of later turns contain the different answers, so they
		// differ too and have no earlier answer to compare with.
		assert.Assert(t, results[1].Checks.WrongText > results[1].Answers.Offered/2)
		assert.Equal(t, results[0].Settings.ScheduleHash, results[1].Settings.ScheduleHash)
		assert.Equal(t, results[3].Settings.Rate, 100.0)
		assert.Equal(t, results[3].Checks.Violations(), int64(0))

		var table bytes.Buffer
		assert.NilError(t, ResultsTable(results).WriteMarkdown(&table))
		assert.Equal(t, strings.Count(table.String(), "\n"), 6)
		assert.Assert(t, strings.Contains(table.String(), "| other | 100.0% |"))
	})
}
