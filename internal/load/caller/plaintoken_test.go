package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// plainToken must agree with the JSON decoder on every chunk that it accepts.
func TestPlainTokenAgreesWithTheDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(` ?[a-z"\\{}:,]+`)).Draw(t, "text")
		encoded, err := json.Marshal(text)
		assert.NilError(t, err)
		more := rapid.SampledFrom([]string{"", `,"role":"assistant"`}).Draw(t, "more")
		data := []byte(`{"choices":[{"index":0,"delta":{"content":` + string(encoded) + more + `},"finish_reason":null}]}`)
		got, ok := plainToken(data)
		var c chunk
		assert.NilError(t, c.parse(data))
		assert.Assert(t, !ok || string(got) == c.content())
	})
	_, ok := plainToken([]byte(`{"choices":[{"delta":{"content":" word"},"finish_reason":null}]}`))
	assert.Assert(t, ok)
}

// Guards against text left over in the reused chunk. A token with an escape goes
// through the JSON decoder, which stores its text there. The last chunk has no
// text, so a text that was not cleared would appear twice in the answer.
func TestTextOfAnEarlierChunkIsNotRepeated(t *testing.T) {
	r := tokenReader{out: &Outcome{}}
	stream := tokens(1, 1) +
		"id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\" \\\"w2\\\"\"},\"finish_reason\":null}]}\n\n" + ending
	s := r.read(strings.NewReader(stream), func() {})
	assert.Equal(t, s.kind, whole)
	assert.Equal(t, string(r.out.Text), ` w1 "w2"`)
	assert.DeepEqual(t, []int{r.out.Tokens, r.out.Missing, r.out.Duplicated}, []int{2, 0, 0})
}
