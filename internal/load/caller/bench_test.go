package caller

import (
	"strings"
	"testing"
)

// BenchmarkToken measures reading one token of a stream: decoding its event,
// checking its offset, and recording its arrival and text.
func BenchmarkToken(b *testing.B) {
	const n = 1000
	var text strings.Builder
	head := `{"id":"0198c0de-0000-7000-8000-000000000000","object":"chat.completion.chunk","created":1765000000,` +
		`"model":"harvester-diagnosis","choices":[{"index":0,"delta"`
	text.WriteString(strings.ReplaceAll(tokens(1, n), `{"choices":[{"delta"`, head))
	text.WriteString(ending)
	b.SetBytes(int64(text.Len() / n))
	b.ReportAllocs()
	for i := 0; i < b.N; i += n {
		r := tokenReader{out: &Outcome{}}
		if s := r.read(strings.NewReader(text.String()), func() {}); s.kind != whole || r.out.Tokens != n {
			b.Fatal(s.err, r.out.Tokens)
		}
	}
}
