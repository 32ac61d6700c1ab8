package caller

import (
	"bufio"
	"bytes"
	"io"
)

// Sizes of the decoder's buffers, in bytes. A token's event has about 200 bytes.
const (
	readBuffer = 4 << 10
	maxEvent   = 1 << 20 // the longest line; a longer one is an error
)

// event is one server-sent event. Its slices are valid until the next call of
// next.
type event struct {
	name  []byte
	id    []byte
	data  []byte
	hasID bool
}

// decoder reads server-sent events as the HTML standard defines them, with
// lines that end in LF or CRLF. An event truncated by the end of the stream is
// dropped, as the standard demands: a partial token must not count as one.
type decoder struct {
	r    *bufio.Reader
	ev   event
	long []byte // buffer of longLine
}

func newDecoder(r io.Reader) *decoder {
	return &decoder{r: bufio.NewReaderSize(r, readBuffer)}
}

// reset makes the decoder read another stream.
func (d *decoder) reset(r io.Reader) { d.r.Reset(r) }

// next returns the next event that has data, or an error. io.EOF means that
// the stream ended between events or within one.
func (d *decoder) next() (*event, error) {
	d.clear()
	for {
		line, err := d.line()
		if err != nil {
			return nil, err
		}
		if len(line) > 0 {
			d.field(line)
			continue
		}
		if len(d.ev.data) > 0 {
			// By the standard each data line adds a newline, and the last one
			// is removed.
			d.ev.data = d.ev.data[:len(d.ev.data)-1]
			return &d.ev, nil
		}
		d.clear()
	}
}

func (d *decoder) clear() {
	d.ev.name = d.ev.name[:0]
	d.ev.id = d.ev.id[:0]
	d.ev.data = d.ev.data[:0]
	d.ev.hasID = false
}

// line returns the next line without its line ending.
func (d *decoder) line() ([]byte, error) {
	line, err := d.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = d.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// longLine collects a line that is longer than the read buffer.
func (d *decoder) longLine(head []byte) ([]byte, error) {
	d.long = append(d.long[:0], head...)
	for {
		part, err := d.r.ReadSlice('\n')
		d.long = append(d.long, part...)
		if len(d.long) > maxEvent {
			return nil, Error.New("an event's line is above %d bytes", maxEvent)
		}
		if err != bufio.ErrBufferFull {
			return d.long, err
		}
	}
}

// field parses one line "name: value". Comments, which have no name, and unknown
// fields are skipped.
func (d *decoder) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		d.ev.data = append(append(d.ev.data, value...), '\n')
	case "event":
		d.ev.name = append(d.ev.name[:0], value...)
	case "id":
		d.ev.id = append(d.ev.id[:0], value...)
		d.ev.hasID = true
	}
}
