package prompt

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func TestBlocksOfACommonPrefixAreEqual(t *testing.T) {
	model := fleet.ModelRef{Model: "m"}
	long := Tokens(strings.Repeat("word ", 40))
	other := append(append([]string{}, long[:20]...), "else", "where")
	a, b := Blocks(model, long), Blocks(model, other)
	assert.Equal(t, len(a), 2)
	assert.Equal(t, len(b), 1)
	assert.Equal(t, a[0], b[0])
	assert.Assert(t, a[0] != Blocks(fleet.ModelRef{Model: "m", Adapter: "x"}, long)[0])
}

func TestRenderIsOneLineAMessage(t *testing.T) {
	got := Render([]engineapi.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "why"}})
	assert.Equal(t, got, "system: be brief\nuser: why\n")
	assert.DeepEqual(t, Tokens(got), []string{"system:", "be", "brief", "user:", "why"})
}
