package relay

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventsAreSplitAtTheirEnds(t *testing.T) {
	var e eventBuffer
	assert.Equal(t, len(e.add([]byte("id: 1\nda"))), 0)
	assert.Assert(t, e.partial())
	whole := e.add([]byte("ta: a\n\nid: 2\ndata: b\n\nid: 3\n"))
	assert.Equal(t, string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	e.consume(len(whole))
	assert.Equal(t, e.lastID, "2")
	assert.Equal(t, e.count, 2)
	assert.Assert(t, e.partial())
	e.discardPartial()
	whole = e.add([]byte("id: 3\ndata: c\n\n"))
	assert.Equal(t, string(whole), "id: 3\ndata: c\n\n")
	e.consume(len(whole))
	assert.Equal(t, e.lastID, "3")
	assert.Assert(t, !e.partial())
}

// However a stream is split into reads, what is passed on is a prefix of it that
// ends with a whole event, and no byte is lost.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Add([]byte("x-v: 2\nid: 7\ndata: \n\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var e eventBuffer
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			whole := e.add(rest[:n])
			out = append(out, whole...)
			e.consume(len(whole))
			rest = rest[n:]
		}
		assert.Assert(t, bytes.HasPrefix(stream, out))
		assert.Assert(t, len(out) == 0 || bytes.HasSuffix(out, eventEnd))
		assert.Equal(t, len(out)+len(e.buf), len(stream))
	})
}
