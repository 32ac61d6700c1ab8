package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that count as whole though they hold bytes that no entry wrote.
func TestAnswersHoldNothingThatNoEntryWrote(t *testing.T) {
	text := `{"choices":[{"delta":{"content":" x"},"finish_reason":null}]}`
	for name, body := range map[string]string{ // the tokens before the mark are valid
		"empty id":             tokens(1, 2) + "|id: \ndata: " + text + "\n\n" + tokens(4, 4) + ending,
		"no id":                tokens(1, 2) + "|data: " + text + "\n\n" + tokens(4, 4) + ending,
		"noise first":          "|x7 noise\n\n" + tokens(1, 4) + ending,
		"noise within":         tokens(1, 2) + "|id: 3\nx7 noise\ndata: " + text + "\n\n" + tokens(4, 4) + ending,
		"noise before the end": tokens(1, 4) + "|x7 noise\n\n" + ending,
		"another answer":       tokens(1, 2) + "|HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + tokens(3, 4) + ending,
		"head of an answer":    tokens(1, 2) + "|Content-Length: 7\n\n" + tokens(3, 4) + ending,
		"id that is no number": tokens(1, 2) + "|id: x7\ndata: " + text + "\n\n" + tokens(4, 4) + ending,
		"negative id":          tokens(1, 2) + "|id: -3\ndata: " + text + "\n\n" + tokens(4, 4) + ending,
		"two ids":              tokens(1, 2) + "|id: 3\nid: 4\ndata: " + text + "\n\n" + ending,
		"another JSON value":   tokens(1, 2) + "|id: 3\ndata: null\n\n" + tokens(3, 4) + ending,
		"control characters":   tokens(1, 2) + "|id: 3\ndata: " + text + "\x00\n\n" + tokens(4, 4) + ending,
		"no text":              tokens(1, 2) + "|id: 3\ndata: " + strings.Replace(text, "x", "\xff", 1) + "\n\n" + tokens(4, 4) + ending,
		"end within an event":  tokens(1, 4) + "|" + "id: 5\ndata: [DONE]\n",
	} {
		t.Run(name, func(t *testing.T) {
			valid, _, _ := strings.Cut(body, "|")
			out := &Outcome{}
			r := tokenReader{out: out}
			s := r.read(strings.NewReader(strings.Replace(body, "|", "", 1)), func() {})
			assert.Equal(t, s.kind, broken)
			assert.Equal(t, out.Tokens, strings.Count(valid, "\n\n"))
			assert.DeepEqual(t, []int{out.Missing, out.Duplicated}, []int{0, 0})
		})
	}
}
