package gateway

import "unicode/utf8"

const hexDigits = "0123456789abcdef"

// appendJSONString appends s as a JSON string. Bytes that are not valid UTF-8
// become U+FFFD, as with encoding/json.
func appendJSONString(b []byte, s string) []byte {
	b = append(b, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r == '\n':
			b = append(b, '\\', 'n')
		case r < ' ' || r == '\u2028' || r == '\u2029':
			b = append(b, '\\', 'u', hexDigits[r>>12&15], hexDigits[r>>8&15], hexDigits[r>>4&15], hexDigits[r&15])
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}
