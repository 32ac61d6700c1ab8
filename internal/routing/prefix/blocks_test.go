package prefix

import (
	"fmt"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// reference is the definition of the chained hash written plainly.
func reference(messages []engineapi.Message) (blocks []uint64, tokens int) {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	words := strings.Fields(prompt.String())
	var sum uint64
	for i := 0; i+engineapi.BlockTokens <= len(words); i += engineapi.BlockTokens {
		block := strings.Join(words[i:i+engineapi.BlockTokens], " ")
		sum = xxh3.HashStringSeed(block, sum)
		blocks = append(blocks, sum)
	}
	return blocks, len(words)
}

func conversation(turns int) []engineapi.Message {
	out := make([]engineapi.Message, turns)
	for i := range out {
		out[i] = engineapi.Message{Role: "user", Content: strings.Repeat(fmt.Sprintf("elevator\tchain \u00a0 turn%d ", i), 20+i)}
	}
	if turns > 0 {
		out[0].Role = "field  technician"
	}
	return out
}

func TestBlocksMatchTheirDefinition(t *testing.T) {
	for turns := range 9 {
		messages := conversation(turns)
		want, wantTokens := reference(messages)
		got, tokens := Blocks(messages, nil)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, tokens, wantTokens)
	}
}

func TestLongerConversationKeepsItsLeadingBlocks(t *testing.T) {
	short, _ := Blocks(conversation(3), nil)
	long, _ := Blocks(conversation(6), nil)
	assert.Assert(t, len(long) > len(short))
	assert.DeepEqual(t, long[:len(short)], short)
}

func TestLongWordsHashByTheSameDefinition(t *testing.T) {
	long := strings.Repeat("x", blockBytes+1)
	messages := []engineapi.Message{{Role: "user", Content: strings.Repeat("a "+long+" ", 20)}}
	want, _ := reference(messages)
	got, _ := Blocks(messages, nil)
	assert.DeepEqual(t, got, want)
}

func TestBlocksAllocateNothingBeyondDst(t *testing.T) {
	messages := conversation(40)
	dst := make([]uint64, 0, 1024)
	allocs := testing.AllocsPerRun(20, func() { Blocks(messages, dst) })
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkBlocks(b *testing.B) {
	messages := conversation(64)
	dst := make([]uint64, 0, 1024)
	_, tokens := Blocks(messages, dst)
	b.ReportAllocs()
	for b.Loop() {
		Blocks(messages, dst)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
}
