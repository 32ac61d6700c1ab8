package prompt

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// If a daemon hashed a prompt differently from the engines, their cache events would
// not match, and each turn of a conversation would go to an engine that hasn't
// cached the earlier ones.
func TestLeadingHashesAsEnginesDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SampledFrom([]string{"a", "bc", "  chain ", "\n", "x:y", ""})
		var messages []engineapi.Message
		for range rapid.IntRange(0, 5).Draw(t, "messages") {
			text := strings.Join(rapid.SliceOfN(word, 0, 40).Draw(t, "words"), " ")
			role := rapid.SampledFrom([]string{"user", "system", "two words", ""}).Draw(t, "role")
			messages = append(messages, engineapi.Message{Role: role, Content: text})
		}
		model := fleet.ModelRef{Model: "m", Adapter: "a", Version: "1"}
		tokens := Tokens(Render(messages))
		got, n := LeadingBlocks(model, messages, nil)
		assert.Equal(t, n, len(tokens))
		assert.DeepEqual(t, append([]uint64{}, got...), Blocks(model, tokens))
	})
}

func BenchmarkLeading(b *testing.B) {
	var text strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&text, "word%d ", i)
	}
	messages := []engineapi.Message{{Role: "user", Content: text.String()}}
	dst := make([]uint64, 0, 256)
	b.ReportAllocs()
	for b.Loop() {
		_, n := LeadingBlocks(fleet.ModelRef{Model: "m"}, messages, dst[:0])
		b.SetBytes(int64(n))
	}
}
