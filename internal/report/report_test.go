package report

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"
)

func TestParseMetrics(t *testing.T) {
	text := "# HELP a b\n\na 1\nb{x=\"}\\\"{\",y=\"2\"} 2.5e3 1700000000\nc NaN\nd{} +Inf\n"
	values, err := ParseMetrics(strings.NewReader(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, values, []Value{{"a", "", 1}, {"b", `x="}\"{",y="2"`, 2500}})
	for _, bad := range []string{"a", "a{x=\"1\" 2", "a x", "{} 1"} {
		_, err := ParseMetrics(strings.NewReader("ok 1\n" + bad))
		assert.ErrorContains(t, err, "line 2", bad)
	}
}

func sampleAt(second int, daemon, metric, labels string, v float64) Sample {
	return Sample{Daemon: daemon, At: time.Unix(int64(second), 0), Values: []Value{{metric, labels, v}}}
}

// Guards against a large negative rate when a daemon restarts between two
// samples and its counter starts at zero again.
func TestRateAfterACounterReset(t *testing.T) {
	p := Panel{Metric: "m", Transform: Rate}
	c, ok := p.chart([]Sample{sampleAt(0, "a", "m", "", 100), sampleAt(10, "a", "m", "", 120), sampleAt(20, "a", "m", "", 30)})
	assert.Assert(t, ok)
	assert.DeepEqual(t, c.Series[0].Points, []plot.Point{{X: 10, Y: 2}, {X: 20, Y: 3}})
}

func TestLagIsTheDistanceToTheNewestVersion(t *testing.T) {
	p := Panel{Metric: "v", Transform: Lag}
	c, ok := p.chart([]Sample{
		sampleAt(0, "a", "v", "x", 4), sampleAt(1, "b", "v", "x", 4),
		sampleAt(2, "a", "v", "x", 7), sampleAt(3, "b", "v", "x", 5), sampleAt(4, "b", "v", "x", 7),
	})
	assert.Assert(t, ok)
	assert.Equal(t, c.Series[1].Name, "b")
	assert.DeepEqual(t, c.Series[1].Points, []plot.Point{{X: 1, Y: 0}, {X: 3, Y: 2}, {X: 4, Y: 0}})
}

func TestFollowSkipsUnreachableDaemons(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("path{p=\"" + r.URL.Path + "\"} 1\n"))
	}))
	defer s.Close()
	live := strings.TrimPrefix(s.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	out := &cancelOnWrite{cancel: cancel}
	assert.NilError(t, Follow(ctx, out, s.Client(), []string{"127.0.0.1:0", live}, time.Hour))
	samples, err := ReadSamples(out)
	assert.NilError(t, err)
	assert.Equal(t, len(samples), 1)
	assert.Equal(t, samples[0].Daemon, live)
	assert.DeepEqual(t, samples[0].Values, []Value{{"path", `p="/metrics"`, 1}})
}

// cancelOnWrite cancels a context at the first write.
type cancelOnWrite struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (c *cancelOnWrite) Write(p []byte) (int, error) {
	c.cancel()
	return c.Buffer.Write(p)
}

func TestReadSamplesSkipsATruncatedLastLine(t *testing.T) {
	samples, err := ReadSamples(strings.NewReader("{\"daemon\":\"a\"}\n{\"daemon\":\"b\",\"val"))
	assert.NilError(t, err)
	assert.Equal(t, len(samples), 1)
	_, err = ReadSamples(strings.NewReader("nonsense"))
	assert.Assert(t, err != nil)
}

func result(policy string, rate, p95 float64) *load.Result {
	r := &load.Result{Schema: load.Schema, Policy: policy}
	r.Settings.Rate, r.Settings.Mix = rate, "<mix>"
	r.Answers.FirstToken = load.Distribution{Count: 10, P95: p95}
	r.Workspaces = []load.NamedSection{{Name: "north", Section: r.Answers}}
	r.Timeline = []load.Moment{{Second: 0, Offered: 5}, {Second: 1, Offered: 6}}
	return r
}

func TestPageHoldsAllPartsAndEscapesNames(t *testing.T) {
	broken := result("plain", 50, 300)
	broken.Checks.WrongText = 3
	broken.Faults = []load.FaultRecord{{Name: "wave", AtMillis: 500}}
	var b bytes.Buffer
	assert.NilError(t, Write(&b, Input{
		Results: []*load.Result{result("ours", 50, 200), broken},
		Samples: []Sample{sampleAt(0, "127.0.0.1:1", MemoryMetric, "", 2e7)},
	}))
	page := b.String()
	assert.Equal(t, strings.Count(page, "<svg "), 4+1+1)
	for _, part := range []string{
		"2 runs, mix &lt;mix&gt;", "3 with wrong text", "<h2>Comparison</h2>", ">wave</text>",
		">127.0.0.1:1</text>", "No sample has " + VersionMetric,
	} {
		assert.Assert(t, strings.Contains(page, part), part)
	}
	for _, outside := range []string{"src=", "href=", "<script", "<mix>"} {
		assert.Assert(t, !strings.Contains(page, outside), outside)
	}
}

func TestPageWithoutInput(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, Input{}))
	assert.Assert(t, !strings.Contains(b.String(), "<svg "))
}
