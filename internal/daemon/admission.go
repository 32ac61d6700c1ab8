package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	admissionRing = 4096
	// admissionTick bounds how late a queued request starts after its limit
	// allows it; releases tick at once.
	admissionTick = 10 * time.Millisecond
	// admissionIdleTick is the longest sleep; each call asks anew.
	admissionIdleTick = time.Second
)

// admissionState is what the duty owns.
type admissionState struct {
	limits  *admission.Admission
	seen    *admission.Refusals
	waiting map[fleet.RequestID]chan admission.Action
}

// admissionDuty owns the limits.
type admissionDuty struct {
	*owner[*admissionState]
}

var _ dispatch.Admission = (*admissionDuty)(nil)

func newAdmissionDuty() *admissionDuty {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &admissionDuty{newOwner("admission", admissionRing, &admissionState{
		limits:  admission.New(admission.DefaultConfig(), rng),
		seen:    admission.NewRefusals(),
		waiting: make(map[fleet.RequestID]chan admission.Action),
	})}
}

func (d *admissionDuty) start(ctx context.Context) {
	go d.runDue(ctx, nextAdmissionTick, func(now time.Time, s *admissionState) {
		if next := s.limits.NextTick(); !next.IsZero() && !now.Before(next) {
			s.tick(now)
		}
	})
}

// nextAdmissionTick returns when the limits next need a tick.
func nextAdmissionTick(now time.Time, s *admissionState) time.Time {
	due := s.limits.NextTick()
	if due.IsZero() {
		return now.Add(admissionIdleTick)
	}
	return later(due, now.Add(admissionTick))
}

func (s *admissionState) tick(now time.Time) {
	for _, a := range s.limits.Tick(now) {
		if !a.Start {
			a.RetryAfter = s.retryAfter(now, a.Request, a.Reason, a.RetryAfter)
		}
		if c, ok := s.waiting[a.Request]; ok {
			delete(s.waiting, a.Request)
			c <- a
		}
	}
}

// offer asks the limits. A request that was refused before may wait only for
// what is left of its time.
func (s *admissionState) offer(now time.Time, a admission.Request) admission.Decision {
	if a.Deadline.IsZero() {
		a.Deadline = s.seen.FirstRefusal(now, a.ID).Add(admission.DefaultConfig().MaxQueueWait)
	}
	d := s.limits.Offer(now, a)
	if d.Outcome == admission.Refuse {
		d.RetryAfter = s.retryAfter(now, a.ID, d.Reason, d.RetryAfter)
	}
	return d
}

// maxRetryAfter bounds the retry delay in a refusal.
const maxRetryAfter = 30 * time.Second

// retryAfter returns the retry delay of a refusal. Under overload it is as long as the caller has
// waited so far, so that repeated refusals become rarer. For a workspace's own limit it is the time
// until there is room again.
func (s *admissionState) retryAfter(now time.Time, id fleet.RequestID, why admission.Reason, hint time.Duration) time.Duration {
	if why != admission.Overload && why != admission.QueueFull {
		return hint
	}
	return max(hint, min(s.seen.Record(now, id), maxRetryAfter))
}

// Admit implements dispatch.Admission.
func (d *admissionDuty) Admit(ctx context.Context, a admission.Request) *problem.Problem {
	var decision admission.Decision
	decided := make(chan admission.Action, 1) // taken or not, the owner never waits
	asked := d.ask(func(now time.Time, s *admissionState) {
		decision = s.offer(now, a)
		if decision.Outcome == admission.Queue {
			s.waiting[a.ID] = decided
		}
	})
	switch {
	case !asked:
		return problem.New(http.StatusServiceUnavailable, verdict.NotRun, "this entry is overloaded").WithRetryAfter(time.Second)
	case decision.Outcome == admission.Admit:
		return nil
	case decision.Outcome == admission.Refuse:
		return refusal(decision.Reason, decision.RetryAfter)
	}
	select {
	case action := <-decided:
		if action.Start {
			return nil
		}
		return refusal(action.Reason, action.RetryAfter)
	case <-ctx.Done():
		d.abandon(a.ID)
		return problem.New(http.StatusServiceUnavailable, verdict.NotRun, "the caller left while the request was queued")
	case <-d.done:
		return problem.New(http.StatusServiceUnavailable, verdict.NotRun, "this entry stops").WithRetryAfter(time.Second)
	}
}

// abandon takes a request out of the queue, or gives its place back when it
// was started at the same moment.
func (d *admissionDuty) abandon(id fleet.RequestID) {
	d.tell(func(now time.Time, s *admissionState) {
		delete(s.waiting, id)
		s.limits.Release(now, id, admission.Usage{NotRun: true})
		s.tick(now)
	})
}

// Extend implements dispatch.Admission.
func (d *admissionDuty) Extend(id fleet.RequestID) {
	d.hint(func(now time.Time, s *admissionState) { s.limits.Extend(now, id) })
}

// Release implements dispatch.Admission.
func (d *admissionDuty) Release(id fleet.RequestID, u admission.Usage) {
	d.tell(func(now time.Time, s *admissionState) {
		s.limits.Release(now, id, u)
		s.tick(now)
	})
}

// refusal is what a caller sees of a limit. Nothing was taken, nothing ran.
func refusal(r admission.Reason, after time.Duration) *problem.Problem {
	status := http.StatusTooManyRequests
	switch r {
	case admission.Overload, admission.QueueFull:
		status = http.StatusServiceUnavailable
	case admission.TooLarge:
		status = http.StatusBadRequest
	}
	return problem.New(status, verdict.NotRun, "refused by the limit: %s", r).WithRetryAfter(after)
}
