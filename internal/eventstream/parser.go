package eventstream

import "bytes"

// FirstID is the id of a stream's first event.
const FirstID = 1

// Parser splits a stream into events whose ids are consecutive decimal numbers, and gives out only those
// that can follow the one before. It holds one event at most, and reads each byte once. The zero
// Parser is one for a stream from its start, without a bound on an event's length.
type Parser struct {
	checker
	buf     []byte
	checked int // bytes of buf in lines that were checked
	scanned int // bytes of buf in which the end of the next line was looked for
	whole   int // bytes of buf in whole events
	max     int
	failed  *Fault
}

// New returns a parser of a stream that goes on after an event, or begins where its id is empty. After
// an id that is no number any may follow. Events of more than max bytes are faults; 0: no bound.
func New(after string, max int) *Parser {
	p := &Parser{max: max}
	if after != "" {
		p.last, p.started = []byte(after), true
		if n, ok := parseID(p.last); ok {
			p.next = n + 1
		}
	}
	return p
}

// AllowFields allows events to have fields of these names, beside those of the standard. Any other name is a
// fault: noise, or the rest of an event that was cut off.
func (p *Parser) AllowFields(names []string) { p.extensions = names }

// Add appends bytes. It returns the whole events in the buffer, comments between them included, valid until the
// next call, and a fault if the bytes after them can't belong to the stream. Once there is a fault,
// nothing that is added follows.
func (p *Parser) Add(b []byte) (whole []byte, f *Fault) {
	if p.failed != nil {
		return p.buf[:p.whole], p.failed
	}
	p.start()
	p.buf = append(p.buf, b...)
	for p.failed == nil {
		at := bytes.IndexByte(p.buf[p.scanned:], '\n')
		if at < 0 {
			p.scanned = len(p.buf)
			break
		}
		end := p.scanned + at + 1
		p.addLine(p.buf[p.checked:end-1], end)
		p.checked, p.scanned = end, end
	}
	if p.failed == nil && p.max > 0 && len(p.buf)-p.whole > p.max {
		p.failed = p.fault(TooLong, p.buf[p.whole:])
	}
	return p.buf[:p.whole], p.failed
}

// addLine checks a line that ends at an offset of the buffer.
func (p *Parser) addLine(line []byte, end int) {
	line = trimCR(line)
	_, _, p.failed = p.line(line)
	if p.failed == nil && len(line) == 0 {
		p.whole = end
	}
}

func trimCR(line []byte) []byte {
	if n := len(line); n > 0 && line[n-1] == '\r' {
		return line[:n-1]
	}
	return line
}

// Consume removes the whole events that Add returned, n bytes, from the buffer.
func (p *Parser) Consume(n int) {
	p.buf = p.buf[:copy(p.buf, p.buf[n:])]
	p.checked, p.scanned, p.whole = p.checked-n, p.scanned-n, p.whole-n
}

// Restart discards what follows the last whole event, whose stream goes on in another answer.
func (p *Parser) Restart() {
	p.buf, p.checked, p.scanned, p.whole = p.buf[:0], 0, 0, 0
	p.ev, p.failed = partial{}, nil
}

// Partial reports whether the buffer holds bytes after the last whole event.
func (p *Parser) Partial() bool { return len(p.buf) > p.whole }

// PartialText returns the beginning of the bytes after the last whole event.
func (p *Parser) PartialText() string {
	rest := p.buf[p.whole:]
	return string(rest[:min(len(rest), maxFaultText)])
}

// Len returns the bytes in the buffer, and Size those of memory that it has.
func (p *Parser) Len() int  { return len(p.buf) }
func (p *Parser) Size() int { return cap(p.buf) }
