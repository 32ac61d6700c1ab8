// Package prompt renders a conversation the way the engines do, splits it into
// tokens and hashes its leading blocks. Engines name cache blocks by these
// hashes in their cache events, so whoever predicts cache hits computes them
// here. The package is free of I/O.
package prompt

import (
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// Render returns the text that an engine prefills: one "role: content" line a
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

// Tokens splits a rendered prompt into its tokens, without white space.
func Tokens(rendered string) []string {
	return strings.Fields(rendered)
}
