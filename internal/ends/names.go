package ends

import "github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"

// named bounds the requests that a log line names.
const named = 8

// Names returns the suspects of a crash for a log line.
func Names(c *quarantine.Crash) []string {
	all := c.Suspects[:min(len(c.Suspects), named)]
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.Request.String()
	}
	return out
}
