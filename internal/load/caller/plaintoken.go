package caller

import "bytes"

// What stands around the text of a token's piece, as entries write it.
var (
	tokenOpen  = []byte(`"delta":{"content":"`)
	tokenClose = []byte(`"},"finish_reason":null}]}`)
)

// plainToken returns the text of a piece that is one token without escapes,
// in the very form that entries write. Other forms are left to the JSON
// decoder, which takes ten times as long: at the rates of a load test its time
// would be counted as the deployment's.
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
