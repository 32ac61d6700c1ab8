// Package prefix names the leading blocks of a prompt by chained hashes, in
// the way that engines name them in their cache events, and keeps a bounded
// index of which engine is believed to hold which block.
package prefix

import (
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// Blocks appends to dst the chained hashes of the full blocks of the rendered
// prompt, first block first, and returns it with the prompt's length in
// tokens. A prompt is rendered as one line "role: content" for each message;
// a token is a word between white space, as strings.Fields cuts it. The words
// after the last full block have no hash. See Chain for the hash.
func Blocks(messages []engineapi.Message, dst []uint64) (blocks []uint64, tokens int) {
	var c Chain
	for i := range messages {
		dst = c.role(messages[i].Role, dst)
		for word := range strings.FieldsSeq(messages[i].Content) {
			if sum, full := c.Word(word); full {
				dst = append(dst, sum)
			}
		}
	}
	return dst, c.total
}

// role adds the words of "role:". A role is one word in practice.
func (c *Chain) role(role string, dst []uint64) []uint64 {
	for {
		first, rest, more := strings.Cut(role, " ")
		if !more {
			break
		}
		role = rest
		if first == "" {
			continue
		}
		if sum, full := c.Word(first); full {
			dst = append(dst, sum)
		}
	}
	c.open()
	c.put(role)
	c.put(":")
	if sum, full := c.close(); full {
		dst = append(dst, sum)
	}
	return dst
}
