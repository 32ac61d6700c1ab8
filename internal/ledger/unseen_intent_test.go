package ledger

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// Another daemon recorded the intent after this writer read the shard. The
// request's outcome must be written, not dropped: without it every repeat of the
// request would be answered, for good, that it may have run.
func TestOutcomeOfAnUnseenIntentIsWritten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := NewGroupCommit(0, DefaultGroupPolicy())
	in := Intent{Workspace: "w", Key: Key{ID: uuid.Must(uuid.NewV7()), At: now}, Owner: "other"}
	list, ok := g.Outcome(now, in, Outcome{Status: 200})[0].(List)
	assert.Assert(t, ok)
	actions := g.Listed(now, ListResult{Call: list.Call, OK: true})
	if len(actions) == 1 {
		read, ok := actions[0].(Read)
		assert.Assert(t, ok)
		g.ReadBack(now, ReadResult{Call: read.Call, OK: true})
	}
	actions = g.Tick(now.Add(time.Second))
	assert.Equal(t, len(actions), 1)
	_, ok = actions[0].(Write)
	assert.Assert(t, ok, "%T", actions[0])
}
