package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// metricSet is the daemon's metrics. Their names and meanings are in docs/OPERATIONS.md.
type metricSet struct {
	set          *metrics.Set
	node         *Node
	linesLeftOut *metrics.Counter
	invalid      invalidCounts
}

func newMetricSet(n *Node) *metricSet {
	m := &metricSet{set: metrics.NewSet(), node: n}
	m.linesLeftOut = m.set.NewCounter("cyclamenbeam_log_lines_left_out_total")
	m.set.RegisterMetricsWriter(m.invalid.write)
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		n.guard.Closed(func(listener, limit string, closed int) {
			fmt.Fprintf(w, "cyclamenbeam_connections_closed_total{listener=%q,limit=%q} %d\n", listener, limit, closed)
		})
	})
	m.set.NewGauge("cyclamenbeam_config_version", func() float64 { return float64(n.config.current().Version) })
	m.set.NewGauge("cyclamenbeam_config_lag_seconds", func() float64 { return n.config.Lag().Seconds() })
	m.set.NewGauge("cyclamenbeam_requests_active", func() float64 { return float64(n.relay.Active()) })
	m.set.NewGauge("cyclamenbeam_endpoints_listed", func() float64 {
		all, _ := n.endpoints.list()
		return float64(len(all))
	})
	m.set.NewGauge("cyclamenbeam_daemons_serving", func() float64 {
		if m := n.joined.Load(); m != nil {
			return float64(len(m.serving()))
		}
		return 0
	})
	m.set.NewGauge("cyclamenbeam_store_era", func() float64 { return float64(n.endpoints.Era()) })
	m.set.NewGauge("cyclamenbeam_requests_held", func() float64 { return float64(n.crashes.table.HeldCount()) })
	m.set.NewGauge("cyclamenbeam_prompt_parts_held", func() float64 { return float64(n.crashes.table.HeldPartCount()) })
	m.set.NewGauge("cyclamenbeam_crashes_remembered", func() float64 { return float64(n.crashes.table.CrashCount()) })
	m.set.NewGauge("cyclamenbeam_endpoints_rate_limited", func() float64 { return float64(n.state.RateLimitedEndpoints()) })
	m.set.NewGauge("cyclamenbeam_limit_shares", func() float64 { return float64(len(n.state.LimitShares(time.Now()))) })
	m.set.NewGauge("cyclamenbeam_stream_origins", func() float64 { return float64(n.origins.count()) })
	m.set.NewGauge("cyclamenbeam_services_unreachable", func() float64 { return float64(len(n.paths.lostServices())) })
	m.set.NewGauge("cyclamenbeam_connections_dialled_total", func() float64 { return float64(n.pool.Stats().Dialled) })
	m.set.NewGauge("cyclamenbeam_connections_reused_total", func() float64 { return float64(n.pool.Stats().Reused) })
	m.set.NewGauge("cyclamenbeam_endpoints_silent_total", func() float64 { return float64(n.pool.Stats().Silent) })
	m.set.NewGauge("cyclamenbeam_answers_skipped_total", func() float64 { return float64(n.pool.Stats().Skipped) })
	m.set.NewGauge(`cyclamenbeam_connections_confirmed_total{result="expected"}`, func() float64 { return float64(n.pool.Stats().Confirmed) })
	m.set.NewGauge(`cyclamenbeam_connections_confirmed_total{result="other"}`, func() float64 { return float64(n.pool.Stats().Unconfirmed) })
	m.set.NewGauge(`cyclamenbeam_undelimited_answers_total{process="runs"}`, func() float64 { return float64(n.pool.Stats().EndsShown) })
	m.set.NewGauge(`cyclamenbeam_undelimited_answers_total{process="unknown"}`, func() float64 { return float64(n.pool.Stats().EndsUnknown) })
	return m
}

// ended counts a request.
func (m *metricSet) ended(o *relay.Outcome) {
	if o.Forwarded { // counted by the daemon that admitted it
		m.set.GetOrCreateCounter(`cyclamenbeam_forwarded_requests_total{direction="in"}`).Inc()
		return
	}
	if o.Via != "" {
		m.set.GetOrCreateCounter(`cyclamenbeam_forwarded_requests_total{direction="out"}`).Inc()
	}
	outcome := "answered"
	switch {
	case o.Reason != "":
		outcome = string(o.Reason)
	case o.Failed:
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_requests_total{route=%q,outcome=%q}`, o.Route, outcome)).Inc()
	if o.Reason != "" && o.Reason != relay.CallerLeft && o.Verdict == verdict.NotRun {
		m.refused(o)
	}
	if o.Reason == relay.OverLimit {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_requests_over_limit_total{priority="%d"}`, o.RoutePriority)).Inc()
	}
	if o.Unproven() {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_unproven_refusals_total{route=%q,status="%d"}`, o.Route, o.Status)).Inc()
	}
	if o.Continued != relay.NotContinued {
		m.continued(o)
	}
	if o.RolloutTarget != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_version_requests_total{service=%q,version=%q,outcome=%q}`, o.Service, o.Version, outcome)).Inc()
	}
	if o.First > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`cyclamenbeam_first_seconds{route=%q}`, o.Route)).Update(o.First.Seconds())
	}
	if again := o.Reached - 1; again > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_sends_again_total{route=%q}`, o.Route)).Add(again)
	}
}

// refused counts a request whose caller was answered that it was not run, by reason and proof.
func (m *metricSet) refused(o *relay.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_refusals_total{reason=%q,proof=%q}`, o.Reason, delivery.BasisOf(o.Deliveries))).Inc()
}

// continued counts a stream that was continued, by who did, by what was known of the version
// that began it, and by whether it was completed.
func (m *metricSet) continued(o *relay.Outcome) {
	version := "unknown"
	switch {
	case o.BeganAt != "" && o.Events > 0 && o.Version != o.BeganAt:
		version = "other"
	case o.BeganAt != "":
		version = "known"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_streams_continued_total{by=%q,version=%q,completed="%t"}`, o.Continued, version, o.Reason == "")).Inc()
}

// crashed counts an endpoint that ended, by whether it was leaving.
func (m *metricSet) crashed(leaving bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_endpoint_ends_total{leaving="%t"}`, leaving)).Inc()
}

// originsRestored counts the origins of streams that were restored at the start.
func (m *metricSet) originsRestored(n int) {
	m.set.GetOrCreateCounter("cyclamenbeam_stream_origins_restored_total").Add(n)
}

// originsStored counts a write of the origins of streams, by its result.
func (m *metricSet) originsStored(n, bytes int, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_stream_origins_writes_total{result=%q}`, storeResult(err))).Inc()
	if err == nil {
		m.set.GetOrCreateCounter("cyclamenbeam_stream_origins_stored_total").Add(n)
		m.set.GetOrCreateCounter("cyclamenbeam_stream_origins_stored_bytes_total").Add(bytes)
	}
}

// reported counts a report to a hub by its result.
func (m *metricSet) reported(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_peer_reports_total{result=%q}`, peerResult(err))).Inc()
}

// peerResult returns the result of a call to another daemon as the metric's label.
func peerResult(err error) string {
	if err != nil {
		return "unanswered"
	}
	return "ok"
}

// fetched counts a piece of a configuration by its result.
func (m *metricSet) fetched(bytes int, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamenbeam_config_pieces_total{result=%q}`, peerResult(err))).Inc()
	m.set.GetOrCreateCounter("cyclamenbeam_config_piece_bytes_total").Add(bytes)
}

// Metrics writes the daemon's metrics in the Prometheus text format.
func (n *Node) Metrics(w io.Writer) {
	n.metrics.set.WritePrometheus(w)
	n.writeRetries(w)
	n.writeSpeeds(w)
	if m := n.joined.Load(); m != nil {
		n.writeRole(w, m.layout())
	}
	metrics.WriteProcessMetrics(w)
}

func (n *Node) writeRole(w io.Writer, l *layout) {
	fmt.Fprintf(w, "cyclamenbeam_role{role=%q} 1\n", n.role(l))
	for _, address := range peersOf(l.own) {
		fmt.Fprintf(w, "cyclamenbeam_hub{address=%q} 1\n", address)
	}
}

// role returns what this daemon does for others, as the metric's label.
func (n *Node) role(l *layout) string {
	switch {
	case l.isWatcher(n.id):
		return "watcher"
	case l.isHub(n.id):
		return "hub"
	default:
		return "daemon"
	}
}
