package relay

import "bytes"

// eventBuffer splits an event stream into whole events. An endpoint may fail in the
// middle of an event; neither the caller nor another endpoint that continues the
// stream may get the partial one.
type eventBuffer struct {
	buf      []byte
	searched int // bytes of buf that hold no event's end
	lastID   string
	count    int // whole events so far
}

// add appends bytes and returns the whole events in the buffer, valid until the
// next call.
func (e *eventBuffer) add(p []byte) []byte {
	e.buf = append(e.buf, p...)
	from := max(e.searched-len(eventEnd)+1, 0)
	end := bytes.LastIndex(e.buf[from:], eventEnd)
	e.searched = len(e.buf)
	if end < 0 {
		return nil
	}
	end += from + len(eventEnd)
	whole := e.buf[:end]
	e.record(whole)
	return whole
}

// eventEnd is the empty line that ends an event.
var eventEnd = []byte("\n\n")

// consume removes the whole events that add returned, n bytes, from the buffer.
func (e *eventBuffer) consume(n int) {
	e.buf = e.buf[:copy(e.buf, e.buf[n:])]
	e.searched = len(e.buf)
}

// partial reports whether the buffer holds the beginning of an event.
func (e *eventBuffer) partial() bool { return len(e.buf) > 0 }

// length returns the bytes in the buffer, and size those of memory that it has.
func (e *eventBuffer) length() int { return len(e.buf) }
func (e *eventBuffer) size() int   { return cap(e.buf) }

// discardPartial removes the partial event of an endpoint that failed.
func (e *eventBuffer) discardPartial() { e.buf, e.searched = e.buf[:0], 0 }

// record counts whole events and keeps the last id.
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

// idField begins the line that holds an event's id.
var idField = []byte("id:")
