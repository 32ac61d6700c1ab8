package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// A daemon whose standard output isn't read must not block a request that logs.
func TestLogWithoutAReaderNeverWaits(t *testing.T) {
	r, w := io.Pipe()
	l := NewJSON(w, "info")
	for range 10 * asyncLines {
		l.Info("line")
	}
	line := make([]byte, 512)
	n, err := r.Read(line)
	assert.NilError(t, err)
	assert.Assert(t, json.Valid(bytes.TrimSpace(line[:n])), "%s", line[:n])
}
