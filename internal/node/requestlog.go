package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// requestRing bounds the outcomes that wait to be logged.
	requestRing = 512
	// failureLines and successLines bound the lines a second: a line costs about 10
	// microseconds, so that both together stay below a thousandth of a core.
	failureLines = 60
	successLines = 4
	// refusalLines bounds the further lines a second about refused requests that were sent somewhere.
	refusalLines = 40
	// restLines bounds the lines a second about endpoints that ask for rest.
	restLines = 8
	// invalidLines bounds the lines a second about invalid answers, and invalidRing those that wait to be
	// logged.
	invalidLines = 8
	invalidRing  = 64
)

// requestLog logs each request that failed or was late and some of the others, up to a
// bound a second, on a goroutine of its own.
type requestLog struct {
	log       *logrus.Logger
	metrics   *metricSet
	ring      *ring.Ring[*relay.Outcome]
	invalids  *ring.Ring[*relay.InvalidAnswer]
	successes atomic.Uint64 // successes offered in this second
	rests     atomic.Uint64 // rests offered in this second
}

func newRequestLog(l *logrus.Logger, m *metricSet) *requestLog {
	return &requestLog{
		log: l, metrics: m, ring: ring.New[*relay.Outcome]("requests", requestRing),
		invalids: ring.New[*relay.InvalidAnswer]("invalid answers", invalidRing),
	}
}

// add takes an outcome; it never blocks.
func (r *requestLog) add(o *relay.Outcome) {
	if o.Reason == "" && !o.Failed && !o.Unproven() && o.Continued == relay.NotContinued && o.Late == relay.InTime && r.successes.Add(1) > successLines {
		return
	}
	r.ring.Push(o)
}

// rested logs that an endpoint asks for rest, up to a bound a second.
func (r *requestLog) rested(e fleet.EndpointID, rest time.Duration) {
	if r.rests.Add(1) <= restLines {
		r.log.WithFields(logrus.Fields{"part": "endpoints", "endpoint": e, "rest_ms": rest.Milliseconds()}).Info("endpoint wants no requests for a while")
	}
}

// invalid takes an invalid answer, of which a bounded number a second is logged; it never blocks.
func (r *requestLog) invalid(a *relay.InvalidAnswer) {
	if !r.invalids.Offer(a) {
		r.metrics.linesLeftOut.Inc()
	}
}

func (r *requestLog) writeInvalid(a *relay.InvalidAnswer) {
	r.log.WithFields(logrus.Fields{
		"part": "endpoints", "id": a.Request, "endpoint": a.Endpoint, "service": a.Service, "via": a.Via,
		"kind": a.Kind, "after": a.After, "text": a.Text, "reused": a.Reused,
	}).Warn("answer is invalid")
}

func (r *requestLog) run(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	written, refusals, invalids, dropped := 0, 0, 0, 0
	for {
		select {
		case <-ctx.Done():
			r.writeRest(failureLines-written, invalidLines-invalids)
			return
		case <-second.C:
			if dropped > 0 {
				r.log.WithFields(logrus.Fields{"part": "requests", "left_out": dropped}).Warn("lines left out")
				r.metrics.linesLeftOut.Add(dropped)
			}
			written, refusals, invalids, dropped = 0, 0, 0, 0
			r.successes.Store(0)
			r.rests.Store(0)
		case a := <-r.invalids.C():
			if invalids++; invalids > invalidLines {
				dropped++
				continue
			}
			r.writeInvalid(a)
		case o := <-r.ring.C():
			switch {
			case refusedAfterSend(o) && refusals < refusalLines:
				refusals++
			case written < failureLines:
				written++
			default:
				dropped++
				continue
			}
			r.write(o)
		}
	}
}

// writeRest writes the queued outcomes and invalid answers, up to a number of lines each.
func (r *requestLog) writeRest(lines, invalids int) {
	for ; invalids > 0 && r.invalids.Depth() > 0; invalids-- {
		r.writeInvalid(<-r.invalids.C())
	}
	for ; lines > 0; lines-- {
		select {
		case o := <-r.ring.C():
			r.write(o)
		default:
			return
		}
	}
}

// refusedAfterSend reports whether the caller was answered that the request was not run though it
// was sent somewhere.
func refusedAfterSend(o *relay.Outcome) bool {
	return o.Reason != "" && o.Verdict == verdict.NotRun && len(o.Deliveries) > 0
}

func (r *requestLog) write(o *relay.Outcome) {
	f := logrus.Fields{
		"part": "requests", "id": o.ID, "route": o.Route, "workspace": o.Workspace, "endpoint": o.Endpoint,
		"config": o.ConfigVersion, "reached": o.Reached, "unreached": o.Unreached, "status": o.Status,
		"verdict": o.Verdict.String(), "predicted_ms": o.Predicted.Milliseconds(),
		"first_ms": o.First.Milliseconds(), "total_ms": o.Total.Milliseconds(), "events": o.Events,
		"left_ms": o.TimeLeft.Milliseconds(), "tokens": o.Tokens, "retry_after_ms": o.RetryAfter.Milliseconds(),
	}
	if !o.ConfiguredAt.IsZero() {
		f["config_since"] = o.ConfiguredAt.UTC().Format(logging.TimeFormat)
	}
	if o.RolloutTarget != "" {
		f["version"], f["rollout"], f["rollout_share"] = o.Version, o.RolloutTarget, o.RolloutShare
	}
	if o.Continued != relay.NotContinued {
		f["continued"], f["began_at"], f["version"], f["resumes"] = o.Continued, o.BeganAt, o.Version, o.Resumes
	}
	if o.LongestPause > 0 {
		f["pause_ms"] = o.LongestPause.Milliseconds()
	}
	if o.Via != "" {
		f["via"] = o.Via
	}
	if o.Evidence != "" && (o.Reason != "" || o.Unproven()) {
		f["evidence"] = o.Evidence
	}
	if o.Reason != "" && o.Verdict == verdict.NotRun {
		f["proof"] = delivery.BasisOf(o.Deliveries)
	}
	if len(o.Deliveries) > 1 || len(o.Deliveries) == 1 && o.Reason != "" {
		f["deliveries"] = delivery.Format(o.Deliveries)
	}
	if o.StoppingFor > 0 {
		f["stopping_ms"] = o.StoppingFor.Milliseconds()
	}
	if o.Forwarded {
		f["forwarded"] = true
	}
	if o.Late != relay.InTime {
		f["late"] = o.Late
	}
	if o.Cause != nil {
		f["cause"] = o.Cause.Error()
	}
	if o.RequestKey != (quarantine.Key{}) {
		f["request"] = o.RequestKey.String()
	}
	if o.FirstCause != nil {
		f["first_cause"] = o.FirstCause.Error()
	}
	switch {
	case o.Reason != "":
		f["reason"] = o.Reason
		r.log.WithFields(f).Warn("not answered")
	case o.Failed:
		r.log.WithFields(f).Warn("failed by its endpoint")
	default:
		r.log.WithFields(f).Info("answered")
	}
}
