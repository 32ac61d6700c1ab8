package prompt

import (
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// LeadingBlocks appends to dst the hashes of a conversation's full blocks, as the
// engines compute them, and returns dst and the prompt's length in tokens. It
// allocates only to grow dst.
func LeadingBlocks(model fleet.ModelRef, messages []engineapi.Message, dst []uint64) (blocks []uint64, tokens int) {
	c := NewChain(model)
	for i := range messages {
		dst = c.addRole(messages[i].Role, dst)
		for word := range strings.FieldsSeq(messages[i].Content) {
			if c.Add(word) {
				dst = append(dst, c.hash)
			}
		}
	}
	return dst, c.n
}

// addRole adds the tokens of "role:", which Render puts before the content. A role
// is usually one word, short enough to be concatenated on the stack.
func (c *Chain) addRole(role string, dst []uint64) []uint64 {
	var last string
	for word := range strings.FieldsSeq(role) {
		if last != "" && c.Add(last) {
			dst = append(dst, c.hash)
		}
		last = word
	}
	if c.Add(last + ":") {
		dst = append(dst, c.hash)
	}
	return dst
}
