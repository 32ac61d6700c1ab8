package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/faultproxy"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

const (
	// unguarded is a progress deadline that never comes in a test.
	unguarded = 10 * time.Minute
	// patience bounds a request without the safeguard, which would wait for as
	// long as the connection is open.
	patience = 12 * time.Second
)

// Guards against answers that never end where open connections to engines become silent.
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	guarded := blackHole(t, func(*deployment.Layout) {})
	guarded.whole(t)
	bare := blackHole(t, func(l *deployment.Layout) {
		l.Entries[0].Routing.BetweenTokens = unguarded
		l.Entries[0].Limits.RequestTimeout = patience
	})
	bare.running.Wait()
	lost := 0
	for _, o := range bare.outcomes {
		if o.End != caller.Answered {
			lost++
		}
	}
	assert.Equal(t, lost, len(bare.outcomes), "answered without the safeguard: the fault is none")
	t.Logf("longest gap of %d callers: %s with the progress deadline of 2s, all answers whole; without it %d of %d answers were lost after %s",
		len(guarded.outcomes), guarded.longestGap().Round(time.Millisecond), lost, len(bare.outcomes), patience)
}

const silentStreams = 4

// blackHole runs streams through a proxy before each engine, and silences all
// open connections in their course.
func blackHole(t *testing.T, edit func(*deployment.Layout)) *streams {
	t.Helper()
	o := options()
	o.Entries = 1
	o.Engines = 2
	var proxies []*faultproxy.Proxy
	c := deploy(t, o, edit, func(l *deployment.Layout) { proxies = between(t, l) })
	s := stream(t, callersOf(c.callers()...), silentStreams, 200)
	c.underWay(t, silentStreams, startTokens)
	silenced := 0
	for _, p := range proxies {
		silenced += p.BlackHole()
	}
	assert.Assert(t, silenced >= silentStreams, "%d connections were open", silenced)
	return s
}

// between puts a proxy before each engine.
func between(t *testing.T, l *deployment.Layout) []*faultproxy.Proxy {
	t.Helper()
	var all []*faultproxy.Proxy
	for i := range l.Standin.Engines {
		p, err := faultproxy.New(l.Standin.Engines[i].Address)
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		l.Standin.Engines[i].Advertise = p.Address()
		all = append(all, p)
	}
	return all
}

// Guards against answers that break where connections to engines are reset after a few hundred bytes, again and again.
func TestEngineConnectionsThatAreReset(t *testing.T) {
	t.Parallel()
	o := options()
	o.Entries = 1
	var proxies []*faultproxy.Proxy
	c := deploy(t, o, func(l *deployment.Layout) { proxies = between(t, l) })
	for _, p := range proxies {
		p.ResetAfter(3000) // some fifty tokens
	}
	s := stream(t, callersOf(c.callers()...), 4, 200)
	s.whole(t)
	c.report(t, s)
}
