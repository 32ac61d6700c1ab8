package scale

import (
	"encoding/json"
	"fmt"
)

// jsonAnswer is v as an HTTP server of the platform sends it.
func jsonAnswer(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 02 Jan 2026 15:04:05 GMT\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(head), body...)
}
