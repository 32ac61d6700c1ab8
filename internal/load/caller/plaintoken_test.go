package caller

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The quick reading must agree with the JSON decoder on whatever it takes.
func TestPlainTokenAgreesWithTheDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(` ?[a-z"\\{}:,]+`)).Draw(t, "text")
		encoded, err := json.Marshal(text)
		assert.NilError(t, err)
		data := []byte(`{"choices":[{"index":0,"delta":{"content":` + string(encoded) + `},"finish_reason":null}]}`)
		got, ok := plainToken(data)
		var c chunk
		assert.NilError(t, c.parse(data))
		assert.Assert(t, !ok || string(got) == c.content())
	})
	_, ok := plainToken([]byte(`{"choices":[{"delta":{"content":" word"},"finish_reason":null}]}`))
	assert.Assert(t, ok)
}
