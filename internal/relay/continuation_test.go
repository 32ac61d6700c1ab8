package relay

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// knownOrigins are the origins that a test sets, and those that the relay records.
type knownOrigins struct {
	table   map[origin.Key]origin.Origin
	revoked map[origin.Key]bool
	ended   map[origin.Key]bool
	only    string
	trusted time.Time // zero: for ever
}

func newKnownOrigins() *knownOrigins {
	return &knownOrigins{table: map[origin.Key]origin.Origin{}, revoked: map[origin.Key]bool{}, ended: map[origin.Key]bool{}}
}

func (o *knownOrigins) Record(k origin.Key, from origin.Origin) { o.table[k] = from }
func (o *knownOrigins) Revoke(k origin.Key)                     { o.revoked[k] = true }
func (o *knownOrigins) Ended(k origin.Key)                      { o.ended[k] = true }
func (o *knownOrigins) Find(_ context.Context, k origin.Key) (origin.Origin, bool) {
	from, known := o.table[k]
	return from, known
}
func (o *knownOrigins) Only(context.Context, string, time.Duration) (string, bool) {
	return o.only, o.only != ""
}
func (o *knownOrigins) TrustedUntil(string) time.Time {
	if o.trusted.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return o.trusted
}

func (o *knownOrigins) ListedUntil(a string) time.Time { return o.TrustedUntil(a) }

// versionedFixture is a relay before engines of the given versions, which write the version
// into their events. The engines that break off do so after their first event.
func versionedFixture(t *testing.T, breakOff map[int]bool, versions ...string) (*fixture, *knownOrigins) {
	t.Helper()
	var engines []*engine
	for i, v := range versions {
		engines = append(engines, &engine{script: func(_ int, r *http.Request) string {
			after := 0
			_, _ = fmt.Sscan(r.Header.Get("After"), &after)
			if breakOff[i] {
				return streamHead() + chunk(event(after+1, v)) + "cut"
			}
			return streamHead() + chunk(event(after+1, v)) + chunk(event(after+2, v)) + "0\r\n\r\n"
		}})
	}
	s := newFixture(t, testRoutes(), engines...)
	s.list(versions...)
	o := newKnownOrigins()
	s.relay.SetOrigins(o)
	return s, o
}

// list lists the engines with versions.
func (s *fixture) list(versions ...string) {
	var all []roster.Endpoint
	for i, v := range versions {
		id := fmt.Sprint("e", i)
		all = append(all, roster.Endpoint{ID: fleet.EndpointID(id), Service: "s", Address: id, Slots: 8, DataCentre: "a", Version: v})
	}
	s.state.SetEndpoints(time.Now(), all)
}

func event(n int, version string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, version) }

// takeUp sends a request that takes a stream up.
func (s *fixture) takeUp(t *testing.T, id, resumes, lastEvent, key string) *recordingSink {
	t.Helper()
	out, now := &recordingSink{}, time.Now()
	s.relay.Serve(t.Context(), &Request{
		ID: id, Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", Key: key, LastEvent: lastEvent, Resumes: resumes,
		Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}

// Guards against a stream that goes on at an engine of another version within one answer.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for range 20 {
		s, _ := versionedFixture(t, map[int]bool{0: true}, "v1", "v2")
		got := s.send(t.Context(), "/stream/1")
		if s.engines[0].runs() == 0 {
			continue // the stream began at the other engine
		}
		assert.Equal(t, got.body.String(), event(1, "v1"))
		assert.Assert(t, got.aborted)
		assert.Equal(t, s.engines[1].runs(), 0)
	}
	for range 20 {
		s, _ := versionedFixture(t, map[int]bool{0: true, 2: true}, "v1", "v1", "v2")
		got := s.send(t.Context(), "/stream/1")
		if s.engines[0].runs() == 0 || s.engines[2].runs() > 0 {
			continue
		}
		assert.Equal(t, got.body.String(), event(1, "v1")+event(2, "v1")+event(3, "v1"))
		assert.Assert(t, got.ended)
		assert.Equal(t, s.recorder.last.Continued, ByDaemon)
	}
}

// Guards against a stream whose attempt brought no event and that is bound to its version.
func TestAttemptWithoutAnEventBindsNoVersion(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(""), alwaysAnswers(streamHead()+chunk(event(1, "v2"))+"0\r\n\r\n"))
	s.list("v1", "v2")
	s.relay.SetOrigins(newKnownOrigins())
	got := s.send(t.Context(), "/stream/1")
	assert.Equal(t, got.body.String(), event(1, "v2"))
	assert.Assert(t, got.ended)
}

func TestStreamThatIsTakenUp(t *testing.T) {
	v2 := origin.Origin{Service: "s", Version: "v2"}
	named := origin.KeyOf("w", "first")
	for _, test := range []struct {
		name      string
		known     map[origin.Key]origin.Origin
		only      string
		resumes   string
		lastEvent string
		key       string
		want      string // the version at which it goes on; empty: refused
		reason    Reason
	}{
		{name: "known", known: map[origin.Key]origin.Origin{named: v2}, resumes: "first", lastEvent: "4", want: "v2"},
		{name: "known, no last event", known: map[origin.Key]origin.Origin{named: v2}, resumes: "first", want: "v2"},
		{name: "of another workspace", known: map[origin.Key]origin.Origin{named: v2}, resumes: "first", lastEvent: "4", key: "small", reason: UnknownVersion},
		{name: "not recorded", resumes: "first", lastEvent: "4", reason: UnknownVersion},
		{name: "not recorded, one version alone", only: "v1", resumes: "first", lastEvent: "4", want: "v1"},
		{name: "names the second attempt", known: map[origin.Key]origin.Origin{named: v2}, resumes: "second", lastEvent: "4", reason: UnknownVersion},
		{name: "names none", known: map[origin.Key]origin.Origin{named: v2}, lastEvent: "4", reason: UnknownVersion},
		{name: "names none, one version alone", only: "v2", lastEvent: "4", want: "v2"},
		{name: "version without endpoints", known: map[origin.Key]origin.Origin{named: {Service: "s", Version: "v3"}}, resumes: "first", lastEvent: "4", reason: NoEndpoint},
		{name: "service that the route doesn't use", known: map[origin.Key]origin.Origin{named: {Service: "t", Version: "v1"}}, resumes: "first", lastEvent: "4", reason: NoEndpoint},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, o := versionedFixture(t, nil, "v1", "v2")
			o.only = test.only
			for k, from := range test.known {
				o.table[k] = from
			}
			if test.key == "" {
				test.key = "key"
			}
			got := s.takeUp(t, "next", test.resumes, test.lastEvent, test.key)
			if test.want == "" {
				assert.Assert(t, got.refusal != nil, "%q", got.body.String())
				assert.Equal(t, got.refusal.Reason, test.reason)
				assert.Equal(t, got.refusal.Verdict, verdict.NotRun)
				assert.Equal(t, s.runs(), 0)
				return
			}
			after := 0
			_, _ = fmt.Sscan(test.lastEvent, &after)
			assert.Equal(t, got.body.String(), event(after+1, test.want)+event(after+2, test.want))
			assert.Equal(t, s.recorder.last.Continued, ByCaller)
			assert.Equal(t, s.recorder.last.BeganAt, test.want)
		})
	}
}

// Guards against a third attempt, which names the first, at a daemon that knows only the second.
func TestStreamTakenUpIsRecordedUnderItsFirstAttempt(t *testing.T) {
	s, o := versionedFixture(t, nil, "v1", "v2")
	first := origin.KeyOf("w", "first")
	o.table[first] = origin.Origin{Service: "s", Version: "v2"}
	s.takeUp(t, "second", "first", "4", "key")
	_, known := o.table[origin.KeyOf("w", "second")]
	assert.Assert(t, !known)
	s.takeUp(t, "new", "", "", "key")
	got := o.table[origin.KeyOf("w", "new")]
	assert.Equal(t, got.Service, "s")
	assert.Equal(t, got.Version, s.recorder.last.Version)
}

// Guards against the listed version of an engine that may have started again since.
func TestVersionOfANewConnectionIsUnknownWhileTheListIsOld(t *testing.T) {
	s, o := versionedFixture(t, nil, "v1")
	o.trusted = time.Now().Add(-time.Minute)
	assert.Assert(t, s.send(t.Context(), "/stream/1").ended)
	assert.Equal(t, len(o.table), 0)
	o.table[origin.KeyOf("w", "first")] = origin.Origin{Service: "s", Version: "v1"}
	got := s.takeUp(t, "next", "first", "4", "key")
	assert.Assert(t, got.refusal != nil && got.refusal.Verdict == verdict.NotRun)
	assert.Equal(t, s.runs(), 1)
}

// Guards against events of an engine that has started again at another version.
func TestStreamOfAnEngineThatChangedItsVersionDoesNotGoOn(t *testing.T) {
	synctest.Test(t, streamOfAnEngineThatChangesItsVersion)
}

func streamOfAnEngineThatChangesItsVersion(t *testing.T) {
	var s *fixture
	changed := &engine{script: func(int, *http.Request) string {
		go func() {
			time.Sleep(20 * time.Millisecond)
			s.list("v2", "v1")
		}()
		return streamHead() + chunk(event(1, "?"))
	}}
	other := alwaysAnswers(streamHead() + chunk(event(2, "v1")) + "0\r\n\r\n")
	s = newFixture(t, testRoutes(), changed, other)
	s.list("v1")
	o := newKnownOrigins()
	s.relay.SetOrigins(o)
	got := s.send(t.Context(), "/stream/1")
	assert.Equal(t, got.body.String(), event(1, "?"))
	assert.Assert(t, got.aborted)
	assert.Equal(t, other.runs(), 0)
	assert.Assert(t, o.revoked[origin.KeyOf("w", "r1")])
}

// Guards against a bad version that gets requests after its roll-back.
func TestStreamOfAVersionThatWasRolledBackIsRefused(t *testing.T) {
	s, o := versionedFixture(t, nil, "v1", "v2")
	s.state.SetRollouts(rollout.Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second})
	update := rollout.Update{Rank: rollout.Rank{Token: 1, Seq: 1}, Splits: []rollout.Split{
		{Service: "s", Key: rollout.Key{Target: "v2"}, Phase: rollout.Trial, Share: 0.1, Spread: 1},
	}}
	s.state.ApplyRollouts(time.Now(), update)
	o.table[origin.KeyOf("w", "first")] = origin.Origin{Service: "s", Version: "v2"}
	assert.Assert(t, s.takeUp(t, "a", "first", "4", "key").ended)
	update.Rank.Seq, update.Splits[0].Phase, update.Splits[0].Share = 2, rollout.RolledBack, 0
	s.state.ApplyRollouts(time.Now(), update)
	got := s.takeUp(t, "b", "first", "4", "key")
	assert.Assert(t, got.refusal != nil && got.refusal.Verdict == verdict.NotRun)
	o.table[origin.KeyOf("w", "old")] = origin.Origin{Service: "s", Version: "v1"}
	assert.Assert(t, s.takeUp(t, "c", "old", "4", "key").ended)
}

// Guards against a stream of one service that is drawn at another, where a route has several.
func TestStreamOfARouteWithWeightsGoesOnAtItsService(t *testing.T) {
	s, o := versionedFixture(t, nil, "v1", "v1")
	r := streamRoute
	r.Host, r.Timeout, r.Target = "h", time.Minute, time.Minute
	r.Backends = []route.Backend{{Service: "s", Weight: 1}, {Service: "t", Weight: 9}}
	s.state.Configure(time.Now(), route.New(route.Table{
		Version: 2, Routes: []route.Route{r}, Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"key"}}},
	}))
	s.state.SetEndpoints(time.Now(), []roster.Endpoint{
		{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", Version: "v1"},
		{ID: "e1", Service: "t", Address: "e1", Slots: 8, DataCentre: "a", Version: "v1"},
	})
	o.table[origin.KeyOf("w", "first")], o.only = origin.Origin{Service: "s", Version: "v1"}, "v1"
	for i := range 10 {
		assert.Assert(t, s.takeUp(t, fmt.Sprint(i), "first", "4", "key").ended)
	}
	assert.Equal(t, s.engines[0].runs(), 10)
	got := s.takeUp(t, "x", "unknown", "4", "key")
	assert.Equal(t, got.refusal.Reason, UnknownVersion)
}

// Guards against an endpoint that others' requests avoid since a stream couldn't go on there.
func TestEndpointWithoutAnOldConnectionIsNotAvoided(t *testing.T) {
	s, o := versionedFixture(t, nil, "v1", "v2")
	o.trusted = time.Now().Add(-time.Minute)
	o.table[origin.KeyOf("w", "first")] = origin.Origin{Service: "s", Version: "v1"}
	assert.Assert(t, s.takeUp(t, "next", "first", "4", "key").refusal != nil)
	for range 20 {
		s.send(t.Context(), "/stream/1")
	}
	assert.Assert(t, s.engines[0].runs() > 0)
}

// runningProtocol is a protocol by which engines state their start.
type runningProtocol struct{ plainProtocol }

func (runningProtocol) RunTarget() string { return "/run" }
func (runningProtocol) StartedAt(body []byte) (time.Time, bool) {
	ms, err := strconv.ParseInt(string(body), 10, 64)
	return time.UnixMilli(ms), err == nil
}

// Guards against a stream that goes on at an engine which has started again at another version,
// before its entry says so.
func TestStreamGoesOnAtTheListedRunOnly(t *testing.T) {
	for _, born := range []int64{1000, 2000} { // the listed run, and its successor
		asked, streamed := 0, 0
		e := &engine{script: func(_ int, r *http.Request) string {
			if r.URL.Path == "/run" {
				asked++
				return response(200, strconv.FormatInt(born, 10))
			}
			streamed++
			return streamHead() + chunk(event(2, "written")) + "0\r\n\r\n"
		}}
		s := newFixture(t, testRoutes(), e)
		s.relay.protocol = runningProtocol{}
		s.state.SetEndpoints(time.Now(), []roster.Endpoint{{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", Version: "v1", StartedAt: time.UnixMilli(1000)}})
		o := newKnownOrigins()
		o.trusted = time.Now().Add(-time.Minute)
		s.relay.SetOrigins(o)
		o.table[origin.KeyOf("w", "began")] = origin.Origin{Service: "s", Version: "v1"}
		got := s.takeUp(t, "r2", "began", "1", "key")
		assert.Equal(t, asked, 1)
		if born == 1000 {
			assert.Equal(t, got.body.String(), event(2, "written"))
			continue
		}
		assert.Equal(t, streamed, 0)
		assert.Equal(t, got.refusal.Verdict, verdict.NotRun)
	}
}

// Guards against streams that can't go on since the list of endpoints was out of date when they began.
func TestStreamThatBeginsWithAnOldListGoesOnWhereItsRunIsListed(t *testing.T) {
	for _, born := range []int64{1000, 2000} { // the listed run, and its successor
		e := &engine{script: func(_ int, r *http.Request) string {
			if r.URL.Path == "/run" {
				return response(200, strconv.FormatInt(born, 10))
			}
			return streamHead() + chunk(event(1, "written")) + "0\r\n\r\n"
		}}
		s := newFixture(t, testRoutes(), e)
		s.relay.protocol = runningProtocol{}
		s.state.SetEndpoints(time.Now(), []roster.Endpoint{{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", Version: "v1", StartedAt: time.UnixMilli(1000)}})
		o := newKnownOrigins()
		o.trusted = time.Now().Add(-time.Minute)
		s.relay.SetOrigins(o)
		assert.Equal(t, s.send(t.Context(), "/stream/1").body.String(), event(1, "written"))
		_, known := o.table[origin.KeyOf("w", "r1")]
		assert.Equal(t, known, born == 1000)
	}
}

// Guards against the origin of a broken stream that counts as that of an ended one.
func TestOnlyWholeStreamsCountAsEnded(t *testing.T) {
	for _, whole := range []bool{true, false} {
		body := streamHead() + chunk(event(1, "v1"))
		if whole {
			body += "0\r\n\r\n"
		}
		s := newFixture(t, testRoutes(), alwaysAnswers(body))
		s.list("v1")
		o := newKnownOrigins()
		s.relay.SetOrigins(o)
		s.send(t.Context(), "/stream/1")
		assert.Equal(t, o.ended[origin.KeyOf("w", "r1")], whole)
	}
}
