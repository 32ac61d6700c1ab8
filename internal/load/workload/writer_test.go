package workload

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestQuestionsAboutOneMachineShareAPrefix(t *testing.T) {
	p := plan(t, TallerVivo, 5)
	w := NewWriter(p)
	a := Arrival{Kind: 0, Subject: 2, Seed: 11, Conversation: 0}
	b := Arrival{Kind: 0, Subject: 2, Seed: 12, Conversation: 1}
	other := Arrival{Kind: 0, Subject: 2, Seed: 11, Conversation: 2, Workspace: 1}
	first := w.Messages(&a, nil, w.Question(&a))
	second := w.Messages(&b, []Turn{{Question: "q", Answer: " a"}}, w.Question(&b))
	assert.Equal(t, first[0].Content, second[0].Content)
	assert.Assert(t, first[0].Content != w.Messages(&other, nil, "q")[0].Content, "workspaces share a machine's record")
	assert.Equal(t, len(second), 4)
	assert.Assert(t, w.Question(&a) != w.Question(&b))

	n := len(strings.Fields(first[0].Content))
	k := p.Mix.Kinds[0]
	assert.Assert(t, n >= p.Mix.SystemTokens+k.SubjectTokens.Min && n <= p.Mix.SystemTokens+k.SubjectTokens.Max)
}

func TestEqualQuestionsHaveEqualAnswerLengths(t *testing.T) {
	p := plan(t, TallerVivo, 5)
	a := Arrival{Kind: 1, Subject: -1, Seed: 3}
	b := Arrival{Kind: 1, Subject: -1, Seed: 3, Workspace: 1}
	one, two := NewWriter(p), NewWriter(p)
	assert.Equal(t, one.Question(&a), two.Question(&b))
	assert.Equal(t, one.AnswerTokens(&a), two.AnswerTokens(&b))
}
