package caller

import "bytes"

// The JSON before and after the text of a token's chunk, as entries write it.
var (
	tokenOpen  = []byte(`"delta":{"content":"`)
	tokenClose = []byte(`"},"finish_reason":null}]}`)
)

// plainToken returns the text of a chunk that is one token without escapes, in
// exactly the form that entries write. Other forms are left to the JSON decoder,
// which takes ten times as long: at the rates of a load test that would add to
// the latencies measured.
func plainToken(data []byte) ([]byte, bool) {
	head, found := bytes.CutSuffix(data, tokenClose)
	if !found {
		return nil, false
	}
	at := bytes.LastIndex(head, tokenOpen)
	if at < 0 {
		return nil, false
	}
	text := head[at+len(tokenOpen):]
	if bytes.IndexByte(text, '\\') >= 0 || bytes.IndexByte(text, '"') >= 0 {
		return nil, false
	}
	return text, len(text) > 0
}
