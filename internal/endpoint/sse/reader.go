// Package sse reads server-sent events with little work for each event. Lines end
// in LF or CRLF; a lone CR, which the standard allows as well, doesn't end a line
// here, since no engine sends one. Source: WHATWG HTML, section "Server-sent
// events".
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/zeebo/errs"
)

// MaxEvent bounds one event, bytes. An event carries one token or a usage record; a
// larger one comes from a faulty peer and could exhaust the memory.
const MaxEvent = 256 << 10

// bufferSize lets a burst of events after a resume be read with few reads.
const bufferSize = 4 << 10

// ErrTooLong is returned for an event above MaxEvent.
var ErrTooLong = errs.New("sse: event too long")

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	ID   []byte // of this event; nil if it has none
	Data []byte // the data lines, joined by LF
}

// Reader reads events from a stream. Use NewReader to create one.
type Reader struct {
	src *bufio.Reader
	// data and id are the fields of the event being read; data has an LF after each
	// line.
	data    []byte
	id      []byte
	longBuf []byte // holds a line that doesn't fit src's buffer
}

// NewReader returns a reader of the events in src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(src, bufferSize)}
}

// Next returns the next event that has data. At the end of the input it
// returns io.EOF between events and io.ErrUnexpectedEOF within one.
func (r *Reader) Next() (Event, error) {
	r.data = r.data[:0]
	r.id = r.id[:0]
	for begun := false; ; begun = true {
		line, err := r.line()
		if err != nil {
			return Event{}, endError(err, begun || len(line) > 0)
		}
		if len(line) > 0 {
			r.addField(line)
		} else if len(r.data) > 0 {
			return r.event(), nil
		}
		if len(r.data) > MaxEvent {
			return Event{}, ErrTooLong
		}
	}
}

// event returns the collected fields as an event, without the LF after the last
// data line.
func (r *Reader) event() Event {
	e := Event{Data: r.data[:len(r.data)-1]}
	if len(r.id) > 0 {
		e.ID = r.id
	}
	return e
}

// endError returns the error of Next for an error of the input; within says that it
// was within an event.
func endError(err error, within bool) error {
	if err == io.EOF && within {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addField adds the field in one line to the event. Comments and fields other than
// id and data are ignored.
func (r *Reader) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		r.data = append(r.data, value...)
		r.data = append(r.data, '\n')
	case "id":
		r.id = append(r.id[:0], value...)
	}
}

// line returns the next line without its line ending, valid until the next call.
func (r *Reader) line() ([]byte, error) {
	part, err := r.src.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		part, err = r.longLine(part)
	}
	if err != nil {
		return part, err
	}
	part = part[:len(part)-1]
	if n := len(part); n > 0 && part[n-1] == '\r' {
		part = part[:n-1]
	}
	return part, nil
}

// longLine reads the rest of a line that begins with part and doesn't fit the
// buffer.
func (r *Reader) longLine(part []byte) ([]byte, error) {
	r.longBuf = append(r.longBuf[:0], part...)
	for {
		part, err := r.src.ReadSlice('\n')
		r.longBuf = append(r.longBuf, part...)
		if len(r.longBuf) > MaxEvent {
			return nil, ErrTooLong
		}
		if err != bufio.ErrBufferFull {
			return r.longBuf, err
		}
	}
}
