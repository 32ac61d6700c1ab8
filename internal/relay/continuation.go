package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Origins knows which version of a service began a stream, here or at another daemon. It is
// safe for concurrent use.
type Origins interface {
	// Record records the origin of a stream, Revoke that it isn't known. They return at once.
	Record(k origin.Key, o origin.Origin)
	Revoke(k origin.Key)
	// Ended records that the caller was sent a stream to its end. It returns at once.
	Ended(k origin.Key)
	// Find returns the origin of a stream; other daemons are asked for some hundred
	// milliseconds at most.
	Find(ctx context.Context, k origin.Key) (o origin.Origin, known bool)
	// Only returns the version of a service that began all streams of the last horizon; ok is
	// false if there were several, or if that isn't known. A daemon that has just started may
	// learn it within the next second or two, for which Only waits.
	Only(ctx context.Context, service string, horizon time.Duration) (version string, ok bool)
	// TrustedUntil returns until when connections to an endpoint's address reach the listed run.
	// One that was established later may reach a run that isn't listed yet.
	TrustedUntil(address string) time.Time
	// ListedUntil returns until when connections to an endpoint's address certainly reach the listed
	// run: any that has started since would be listed by now.
	ListedUntil(address string) time.Time
}

// noOrigins is a daemon without others, which knows the streams that it is serving.
type noOrigins struct{}

func (noOrigins) Record(origin.Key, origin.Origin) {}
func (noOrigins) Revoke(origin.Key)                {}
func (noOrigins) Ended(origin.Key)                 {}
func (noOrigins) Find(context.Context, origin.Key) (origin.Origin, bool) {
	return origin.Origin{}, false
}
func (noOrigins) Only(context.Context, string, time.Duration) (string, bool) { return "", false }
func (noOrigins) TrustedUntil(string) time.Time                              { return time.Now().Add(time.Hour) }
func (noOrigins) ListedUntil(string) time.Time                               { return time.Now().Add(time.Hour) }

// SetOrigins sets the source of streams' origins. It must be called before Serve.
func (r *Relay) SetOrigins(o Origins) { r.origins = o }

// refreshInterval is the time between two records of one stream's origin.
const refreshInterval = origin.Retention / 2

// continuation is what is known of a resumable stream, which goes on only at the version that
// began it.
type continuation struct {
	begun  bool          // the caller has events of it
	known  bool          // origin is known
	origin origin.Origin // of a known one
	// key identifies the stream at other daemons; keyed is false if the caller didn't name the
	// attempt that began it.
	key        origin.Key
	keyed      bool
	recordedAt time.Time
}

// newContinuation returns what is known before the first attempt.
func newContinuation(q *Request, a *admitted, forwarded bool) continuation {
	c := continuation{}
	switch {
	case a.route.Kind != route.Streaming || !a.route.Resumable:
		return c
	case forwarded: // the other daemon records the origin
		c.begun, c.known = q.takesUp() || a.pinned, a.pinned
		c.origin = origin.Origin{Service: a.service, Version: a.version}
		return c
	}
	attempt := q.ID
	if q.takesUp() {
		c.begun, attempt = true, q.Resumes
	}
	var w fleet.WorkspaceID
	if a.workspace != nil {
		w = a.workspace.Name
	}
	c.key, c.keyed = origin.KeyOf(w, attempt), attempt != ""
	return c
}

// findOrigin finds the version that began the stream that the caller takes up. Without one
// the request is refused.
func (f *inflight) findOrigin(ctx context.Context) *Refusal {
	c := &f.continuation
	if !c.begun || c.known {
		return nil
	}
	if c.keyed {
		c.origin, c.known = f.relay.origins.Find(ctx, c.key)
	}
	if !c.known {
		c.origin, c.known = f.onlyOrigin(ctx)
	}
	switch {
	case !c.known:
		return f.relay.state.refuseBusy(f, UnknownVersion)
	case !f.route.Serves(c.origin.Service):
		return f.relay.state.refuseBusy(f, NoEndpoint)
	}
	f.setService(c.origin.Service)
	f.outcome.BeganAt = c.origin.Version
	return nil
}

// onlyOrigin returns the origin of a stream that one version alone can have begun.
func (f *inflight) onlyOrigin(ctx context.Context) (origin.Origin, bool) {
	if len(f.route.Backends) != 1 {
		return origin.Origin{}, false
	}
	version, ok := f.relay.origins.Only(ctx, f.service, f.horizon())
	if f.relay.state.backendsChanged(f.route.Name, time.Now().Add(-f.horizon())) {
		return origin.Origin{}, false
	}
	return origin.Origin{Service: f.service, Version: version}, ok
}

// horizon returns how long ago a stream that is taken up can have begun at most: within the
// timeouts of two attempts.
func (f *inflight) horizon() time.Duration { return horizonOf(f.route) }

func horizonOf(r *route.Route) time.Duration { return max(2*r.Timeout, origin.Retention) }

// setService moves the request to the service that began its stream.
func (f *inflight) setService(service string) {
	f.service, f.outcome.Service, f.balanceReq.Service = service, service, service
}

// requiredVersion sets the version at which the next attempt must be made, if any. It returns
// a refusal if the stream has begun at an unknown one.
func (f *inflight) requiredVersion() *Refusal {
	c := &f.continuation
	if !c.begun {
		return nil
	}
	if !c.known {
		return f.relay.state.refuseBusy(f, UnknownVersion)
	}
	f.balanceReq.Pinned, f.balanceReq.Version = true, c.origin.Version
	return nil
}

// noteOrigin records the version that wrote the events of an attempt, before they are passed
// on.
func (f *inflight) noteOrigin(now time.Time, t *trackedAttempt, a *upstream.Answer) {
	c := &f.continuation
	if !c.begun {
		c.begun = true
		c.origin, c.known = f.originOf(t, a)
		f.outcome.BeganAt = c.origin.Version
	}
	if c.known && c.keyed && now.Sub(c.recordedAt) >= refreshInterval {
		c.recordedAt = now
		f.relay.origins.Record(c.key, c.origin)
	}
}

// originOf returns the version of the run that an answer comes from; known is false if the
// endpoint may have started again at another one than the listed one.
func (f *inflight) originOf(t *trackedAttempt, a *upstream.Answer) (o origin.Origin, known bool) {
	if t.forwarded {
		return origin.Origin{Service: f.service, Version: t.version}, t.versionKnown
	}
	e := &t.choice.Endpoint
	if a.Established().After(f.relay.origins.TrustedUntil(e.Address)) && a.Run() != runOf(e) {
		return origin.Origin{}, false
	}
	return origin.Origin{Service: f.service, Version: t.choice.Endpoint.Version}, true
}

// requireRun makes a call of a stream that goes on reach the listed run of its endpoint. A run at
// another version may have started in its place, under the same ID and address. A call that begins a
// stream may reach any run; whether it is the listed one is asked where the list doesn't show it, so
// that the stream can go on.
func (f *inflight) requireRun(now time.Time, c *upstream.Call, e *roster.Endpoint) {
	runs, states := f.relay.protocol.(RunProtocol)
	states = states && !e.StartedAt.IsZero()
	trusted := f.relay.origins.TrustedUntil(c.Address)
	switch doubted := !now.Before(trusted); {
	case f.continuation.begun && states:
		c.EstablishedBy, c.Confirm = f.relay.origins.ListedUntil(c.Address), confirmation(runs, c.Address, e)
	case f.continuation.begun && doubted:
		c.EstablishedBy = trusted
	case doubted && states && f.route.Kind == route.Streaming && f.route.Resumable:
		c.EstablishedBy, c.Confirm = trusted, confirmation(runs, c.Address, e)
		c.Confirm.Optional = true
	}
}

// runOf names the listed run of an endpoint.
func runOf(e *roster.Endpoint) string { return fmt.Sprint(e.ID, e.StartedAt.UnixNano()) }

// confirmation asks for a run of an endpoint.
func confirmation(p RunProtocol, address string, e *roster.Endpoint) *upstream.Confirmation {
	return &upstream.Confirmation{
		Run: runOf(e), Target: p.RunTarget(), Host: address,
		Check: func(body []byte) bool {
			at, stated := p.StartedAt(body)
			return stated && at.Equal(e.StartedAt)
		},
	}
}

// revokeOrigin records that the version of the events passed on isn't known: their endpoint
// has started again at another one.
func (f *inflight) revokeOrigin() {
	c := &f.continuation
	if !c.begun {
		return
	}
	c.known = false
	if c.keyed {
		f.relay.origins.Revoke(c.key)
	}
}

// noteEnd records that the stream was passed on to its end.
func (f *inflight) noteEnd() {
	if c := &f.continuation; c.begun && c.keyed {
		f.relay.origins.Ended(c.key)
	}
}

// errOtherVersion ends attempts at an endpoint that has started again at another version.
var errOtherVersion = errs.New("the endpoint has started again at another version")

// mayUseVersion reports whether the roll-outs allow a required version. The lock is held.
func (s *State) mayUseVersion(now time.Time, f *inflight) bool {
	r := &s.rollouts
	if !r.enabled {
		return true
	}
	split, known := r.gate.Split(now, f.service)
	if !known || split.Target() != f.balanceReq.Version {
		return true
	}
	f.outcome.RolloutTarget, f.outcome.RolloutShare = split.Target(), split.ShareOf(f.route.Name)
	return split.Side(f.route.Name, 0) == rollout.New
}

// backendsChanged reports whether the services of a route have changed after a time.
func (s *State) backendsChanged(route string, after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendsSince[route].After(after)
}

// ResumableServices returns route.Table.ResumableServices of the table in force, and since when
// it has been the same, the zero time if since the first table. ok is false without a table.
func (s *State) ResumableServices() (services uint64, since time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumable, s.resumableSince, s.table != nil
}

// ResumableHorizons returns, for each service of the routes whose streams can be taken up, how
// long ago such a stream can have begun at most.
func (s *State) ResumableHorizons() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	out := map[string]time.Duration{}
	for i := range s.table.Routes {
		r := &s.table.Routes[i]
		if r.Kind != route.Streaming || !r.Resumable {
			continue
		}
		for _, b := range r.Backends {
			out[b.Service] = max(out[b.Service], horizonOf(r))
		}
	}
	return out
}

// noteBackends records when routes' services change with a new table. The lock is held.
func (s *State) noteBackends(now time.Time, t *route.Table) {
	before := s.resumable
	s.resumable = t.ResumableServices()
	if s.table == nil {
		return
	}
	if s.resumable != before {
		s.resumableSince = now
	}
	old := map[string]*route.Route{}
	for i := range s.table.Routes {
		old[s.table.Routes[i].Name] = &s.table.Routes[i]
	}
	since := map[string]time.Time{}
	for i := range t.Routes {
		r := &t.Routes[i]
		since[r.Name] = s.backendsSince[r.Name]
		if before := old[r.Name]; before != nil && !before.SameServices(r) {
			since[r.Name] = now
		}
	}
	s.backendsSince = since
}
