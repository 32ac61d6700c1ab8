package relay

import "bytes"

// events cuts an event stream at the borders of events. An endpoint may stop
// in the middle of one; a caller, or another endpoint that goes on with the
// stream, must never see that half.
type events struct {
	buf    []byte
	lastID string
	count  int // whole events so far
}

// add takes bytes and returns the whole events among those held, valid until
// the next call.
func (e *events) add(p []byte) []byte {
	e.buf = append(e.buf, p...)
	end := bytes.LastIndex(e.buf, border)
	if end < 0 {
		return nil
	}
	end += len(border)
	whole := e.buf[:end]
	e.note(whole)
	return whole
}

// border ends an event.
var border = []byte("\n\n")

// consume lets the whole events that add returned go.
func (e *events) consume(n int) {
	e.buf = e.buf[:copy(e.buf, e.buf[n:])]
}

// partial reports whether an event has begun and not ended.
func (e *events) partial() bool { return len(e.buf) > 0 }

// drop forgets the half event of an endpoint that stopped.
func (e *events) drop() { e.buf = e.buf[:0] }

// note counts events and remembers the last id.
func (e *events) note(whole []byte) {
	e.count += bytes.Count(whole, border)
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
