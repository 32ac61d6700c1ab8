package daemon

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
)

// metricSet is the daemon's metrics. Several daemons may run in one process,
// so it is a set of its own. Labels never hold workspaces or request ids.
type metricSet struct {
	set           *metrics.Set
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
	recomputed    *metrics.Counter
}

var (
	_ gateway.Observer  = (*metricSet)(nil)
	_ dispatch.Observer = (*metricSet)(nil)
	_ outside.Observer  = (*metricSet)(nil)
)

func newMetricSet() *metricSet {
	s := metrics.NewSet()
	return &metricSet{
		set:           s,
		firstToken:    s.NewHistogram("cyclamenbeam_first_token_seconds"),
		betweenTokens: s.NewHistogram("cyclamenbeam_between_tokens_seconds"),
		recomputed:    s.NewCounter("cyclamenbeam_generated_tokens_recomputed_total"),
	}
}

// gauge adds a gauge that is read when the metrics are.
func (m *metricSet) gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// ringGauges adds a ring's depth and drops.
func (m *metricSet) ringGauges(name string, depth func() int, drops, refused func() uint64) {
	m.gauge(fmt.Sprintf("cyclamenbeam_ring_depth{ring=%q}", name), func() float64 { return float64(depth()) })
	m.gauge(fmt.Sprintf("cyclamenbeam_ring_drops_total{ring=%q}", name), func() float64 { return float64(drops()) })
	m.gauge(fmt.Sprintf("cyclamenbeam_ring_refused_total{ring=%q}", name), func() float64 { return float64(refused()) })
}

// Answered implements gateway.Observer.
func (m *metricSet) Answered(operation string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cyclamenbeam_answers_total{operation=%q,status=\"%d\"}", operation, status)).Inc()
}

// FirstToken implements gateway.Observer.
func (m *metricSet) FirstToken(d time.Duration) { m.firstToken.Update(d.Seconds()) }

// BetweenTokens implements gateway.Observer.
func (m *metricSet) BetweenTokens(d time.Duration) { m.betweenTokens.Update(d.Seconds()) }

// Attempt implements dispatch.Observer.
func (m *metricSet) Attempt(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cyclamenbeam_attempts_total{kind=%q}", kind)).Inc()
}

// AttemptFailed implements dispatch.Observer.
func (m *metricSet) AttemptFailed(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cyclamenbeam_attempt_failures_total{kind=%q}", kind)).Inc()
}

// endpointEnded counts an endpoint's end.
func (m *metricSet) endpointEnded(leaving bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_endpoint_ends_total{leaving="%t"}`, leaving)).Inc()
}

// Ended implements dispatch.Observer.
func (m *metricSet) Ended(v string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cyclamenbeam_requests_ended_total{verdict=%q}", v)).Inc()
}

// Recomputed implements dispatch.Observer.
func (m *metricSet) Recomputed(tokens int) { m.recomputed.Add(tokens) }

// Called implements outside.Observer.
func (m *metricSet) Called(c outside.Call) {
	name := fmt.Sprintf("cyclamenbeam_platform_calls_total{kind=%q,class=%q,op=%q,result=%q}", c.Kind, c.Class, c.Op, c.Result)
	m.set.GetOrCreateCounter(name).Inc()
}

// serve writes the metrics in the Prometheus text format.
func (m *metricSet) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
