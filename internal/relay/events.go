package relay

import "bytes"

// eventBuffer cuts an event stream at the borders of eventBuffer. An endpoint may stop
// in the middle of one; a caller, or another endpoint that goes on with the
// stream, must never see that half.
type eventBuffer struct {
	buf    []byte
	lastID string
	count  int // whole events so far
}

// add takes bytes and returns the whole events among those held, valid until
// the next call.
func (e *eventBuffer) add(p []byte) []byte {
	e.buf = append(e.buf, p...)
	end := bytes.LastIndex(e.buf, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := e.buf[:end]
	e.record(whole)
	return whole
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// consume lets the whole events that add returned go.
func (e *eventBuffer) consume(n int) {
	e.buf = e.buf[:copy(e.buf, e.buf[n:])]
}

// partial reports whether an event has begun and not ended.
func (e *eventBuffer) partial() bool { return len(e.buf) > 0 }

// discardPartial forgets the half event of an endpoint that stopped.
func (e *eventBuffer) discardPartial() { e.buf = e.buf[:0] }

// record counts events and remembers the last id.
func (e *eventBuffer) record(whole []byte) {
	e.count += bytes.Count(whole, eventEnd)
	for at := len(whole); at > 0; {
		start := bytes.LastIndexByte(whole[:at-1], '\n') + 1
		line := whole[start:at]
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
			return
		}
		at = start
	}
}

// idField begins the line that names an event.
var idField = []byte("id:")
