package prompt

import (
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// LeadingBlocks appends to dst the hashes of a conversation's whole leading blocks,
// as the engines name them, and returns it with the prompt's length in tokens.
// It allocates nothing beyond dst.
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

// addRole adds "addRole:", which Render puts before the first word of the content. A
// addRole is one word in practice, and short enough to be joined on the stack.
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
