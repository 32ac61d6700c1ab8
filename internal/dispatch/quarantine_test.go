package dispatch

import (
	"crypto/sha256"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// When a completion that crashes engines is sent again with another key, it must
// be refused at once with the verdict not-run and the time after which to retry.
func TestHeldCompletionReachesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{}
		f := &fakeDeps{}
		d := newFakeDispatcher("a", e, f, false)
		defer d.Close()
		digest := sha256.Sum256([]byte("body"))
		key := quarantine.KeyOf("w", "", "", digest[:])
		f.heldFor = map[quarantine.Key]time.Duration{key: time.Minute}
		_, p := d.Submit(t.Context(), submission("r2", "body"))
		assert.Equal(t, p.Status, 503)
		assert.Equal(t, p.Verdict, verdict.NotRun)
		assert.Equal(t, p.RetryAfter, time.Minute)
		assert.Equal(t, e.starts, 0)
		a, p := d.Submit(t.Context(), submission("r3", "other body"))
		assert.Assert(t, p == nil)
		assert.Assert(t, readAll(t, a).Done)
	})
}

// When a stream breaks after its first tokens, the quarantine must get the key
// that identifies the request when it is sent again, and that its answer had
// begun.
func TestBrokenStreamsAreReportedToQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{cutAfter: 3}
		f := &fakeDeps{}
		d := newFakeDispatcher("a", e, f, false)
		defer d.Close()
		a, p := d.Submit(t.Context(), submission("r1", "body"))
		assert.Assert(t, p == nil)
		readAll(t, a)
		assert.Equal(t, len(f.cuts), 1)
		assert.Assert(t, !f.cuts[0].FirstPiece.IsZero())
		assert.Equal(t, f.cuts[0].Request.Request, f.ran[0])
	})
}
