package load

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// hanging is a transport that never answers completions; a request ends with its
// context.
type hanging struct{ *deployment }

func (h hanging) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != caller.CompletionsPath {
		return h.deployment.RoundTrip(r)
	}
	<-r.Context().Done()
	return nil, context.Cause(r.Context())
}

// Guards against lost counts when an engine is replaced by another at the same
// address, whose counters start at zero: the difference of first and last reading
// would be negative.
func TestCountersOfAReplacedEngineAddUp(t *testing.T) {
	var e engineTotal
	e.preexisting = true
	for _, n := range []int64{100, 160, 20, 50} {
		e.add(engineapi.Counters{RecomputedTokens: n, PromptTokens: n, Executions: n})
	}
	assert.Equal(t, e.total().RecomputedTokens, int64(60+50))
	late := engineTotal{}
	late.add(engineapi.Counters{PromptTokens: 30})
	assert.Equal(t, late.total().PromptTokens, int64(30))
}

func TestOrderChecksCompareOutcomesWithExecutions(t *testing.T) {
	o := orders{}
	notRun := caller.Outcome{End: caller.Refused, Verdict: verdict.NotRun, FromServer: true}
	retried := notRun
	retried.Ambiguous = true
	o.add("answered", &caller.Outcome{End: caller.Answered})
	o.add("vanished", &caller.Outcome{End: caller.Answered})
	o.add("not run", &notRun)
	o.add("not run, after an attempt that may have", &retried)
	o.add("twice", &caller.Outcome{End: caller.Unreached})
	got := o.check(map[string]int{"answered": 1, "not run": 1, "not run, after an attempt that may have": 1, "twice": 2})
	assert.Equal(t, got, OrderChecks{Checked: true, Sent: 5, Answered: 2, RanTwice: 1, NotRunButRan: 1, AnsweredButNotRun: 1})
	assert.Assert(t, !o.check(nil).Checked)
}

// Guards against a late answer in the wrong place. When the next turn is due
// before the last one is answered, the request is sent without the earlier turns.
// The late answer must not replace the turns that follow it.
func TestQuestionAfterAnUnansweredTurnHasNoHistory(t *testing.T) {
	c := newConversations()
	turn := func(n int) *workload.Arrival { return &workload.Arrival{Conversation: 4, Turn: n} }
	c.answer(turn(0), nil, workload.Turn{Question: "q0"})
	assert.Equal(t, len(c.earlier(turn(1))), 1)
	assert.Equal(t, len(c.earlier(turn(2))), 0)
	c.answer(turn(2), nil, workload.Turn{Question: "q2"})
	c.answer(turn(1), []workload.Turn{{Question: "q0"}}, workload.Turn{Question: "q1"})
	assert.DeepEqual(t, c.earlier(turn(3)), []workload.Turn{{Question: "q2"}})
	assert.Equal(t, c.sentWithoutHistory(), 1)
	last := turn(3)
	last.Last = true
	c.answer(last, nil, workload.Turn{})
	assert.Equal(t, len(c.open), 0)
}
