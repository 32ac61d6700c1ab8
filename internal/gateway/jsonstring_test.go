package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A token encoded as invalid JSON would end a caller's stream with a syntax
// error in the middle of an answer. The encoding must decode to the same text as
// that of encoding/json.
func FuzzAppendJSONString(f *testing.F) {
	for _, s := range []string{"", " chain", "\"\\\n\t\x00", "é\u2028\u2029", "\xff\xc3", "🌾"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		var got string
		assert.NilError(t, json.Unmarshal(appendJSONString(nil, s), &got))
		assert.Equal(t, got, strings.ToValidUTF8(got, "\ufffd"))
		encoded, err := json.Marshal(s)
		assert.NilError(t, err)
		var want string
		assert.NilError(t, json.Unmarshal(encoded, &want))
		assert.Equal(t, got, want)
	})
}

func BenchmarkToken(b *testing.B) {
	m := meta{id: "01a23812-59f2-7c0b-bbeb-341182c86a96", model: "harvester-diagnosis"}
	s := &sseWriter{}
	t := &tokenStream{sse: s, meta: m}
	b.ReportAllocs()
	for b.Loop() {
		t.appendToken(" elevator")
		s.buf = s.buf[:0]
	}
}
