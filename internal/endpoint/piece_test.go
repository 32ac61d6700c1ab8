package endpoint

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// FuzzDecodePiece checks that decodePiece accepts what encoding/json accepts, with
// the same result.
func FuzzDecodePiece(f *testing.F) {
	f.Add([]byte(`{"offset":12,"text":" bearing"}`))
	f.Add([]byte(`{"offset":012,"text":"x"}`))
	f.Add([]byte(`{"offset":0,"text":"a\"b","text":"ü"}`))
	f.Add([]byte(`{"offset":1,"text":"x","done":true,"usage":{"prompt_tokens":3}}`))
	f.Add([]byte("{\"offset\":1,\"text\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodePiece(data)
		var want engineapi.Piece
		wantErr := json.Unmarshal(data, &want)
		assert.Equal(t, err == nil, wantErr == nil)
		if err == nil {
			assert.DeepEqual(t, got, want)
		}
	})
}
