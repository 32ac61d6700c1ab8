package eventstream

import (
	"bufio"
	"io"
)

// bufferSize lets a burst of events after a resume be read with few reads.
const bufferSize = 4 << 10

// Event is one event of a Reader. Its slices are valid until the next call of Next.
type Event struct {
	Name []byte // empty for the default one
	ID   []byte // nil if there is none
	Data []byte // the data lines, joined by LF
}

// Reader reads the fields of events, up to the first byte that can't belong to the stream. Use NewReader
// to create one.
type Reader struct {
	checker
	src    *bufio.Reader
	max    int
	read   int    // bytes read since the last event
	within bool   // the last line was not an empty one
	data   []byte // with an LF after each line
	name   []byte
	id     []byte
	long   []byte // holds a line that doesn't fit src's buffer
	err    error  // returned by all later calls of Next
}

// NewReader returns a reader of the events in src, which may begin with any id. Fields that the
// standard doesn't name are skipped. It reads at most max bytes
// without an event that has data.
func NewReader(src io.Reader, n Numbering, max int) *Reader {
	r := &Reader{src: bufio.NewReaderSize(src, bufferSize), max: max}
	r.numbering, r.anyField = n, true
	r.anyStart()
	return r
}

// Reset makes the reader read another stream.
func (r *Reader) Reset(src io.Reader) {
	r.src.Reset(src)
	r.checker = checker{numbering: r.numbering, anyField: r.anyField, last: r.last[:0], started: true}
	r.within, r.err = false, nil
}

// Next returns the next event that has data, or a *Fault if the bytes that follow can't belong to the
// stream. At the end of the input it returns io.EOF between events and io.ErrUnexpectedEOF within one.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	r.data, r.name, r.id, r.read = r.data[:0], r.name[:0], r.id[:0], 0
	for {
		line, err := r.line()
		if err != nil {
			r.err = err
			return Event{}, err
		}
		if err := r.addLine(line); err != nil {
			r.err = err
			return Event{}, err
		}
		if len(line) > 0 {
			continue
		}
		if len(r.data) > 0 {
			return r.event(), nil
		}
		r.name = r.name[:0]
	}
}

// Buffered reports whether bytes were read that follow the last event.
func (r *Reader) Buffered() bool { return r.src.Buffered() > 0 }

// event returns the collected fields as an event, without the LF after the last data line.
func (r *Reader) event() Event {
	e := Event{Name: r.name, Data: r.data[:len(r.data)-1]}
	if len(r.id) > 0 {
		e.ID = r.id
	}
	return e
}

// addLine checks a line and adds its field to the event.
func (r *Reader) addLine(line []byte) error {
	field, value, fault := r.checker.line(line)
	if fault != nil {
		return fault
	}
	r.within = len(line) > 0
	switch field {
	case dataField:
		r.data = append(append(r.data, value...), '\n')
	case eventField:
		r.name = append(r.name[:0], value...)
	case idField:
		r.id = append(r.id[:0], value...)
	}
	return nil
}

// line returns the next line without its line ending, valid until the next call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	r.read += len(line)
	switch {
	case r.read > r.max:
		return nil, r.fault(TooLong, line)
	case err == io.EOF && (r.within || len(line) > 0):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return trimCR(line[:len(line)-1]), nil
}

// longLine reads the rest of a line that begins with part and doesn't fit the buffer.
func (r *Reader) longLine(part []byte) ([]byte, error) {
	r.long = append(r.long[:0], part...)
	for {
		part, err := r.src.ReadSlice('\n')
		r.long = append(r.long, part...)
		if err != bufio.ErrBufferFull || r.read+len(r.long) > r.max {
			return r.long, err
		}
	}
}
