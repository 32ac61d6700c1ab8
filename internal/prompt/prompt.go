// Package prompt renders a conversation as the engines do, splits it into tokens
// and hashes its blocks. Engines identify cache blocks by these hashes in their
// cache events, so they are needed to predict cache hits. The package does no I/O.
package prompt

import (
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// Render returns the text that an engine prefills: one "role: content" line per
// message.
func Render(messages []engineapi.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Tokens splits a rendered prompt into its tokens at white space.
func Tokens(rendered string) []string {
	return strings.Fields(rendered)
}
