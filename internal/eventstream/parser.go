package eventstream

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// FirstID is the id of a stream's first event.
const FirstID = 1

// Parser splits a stream into events whose ids are consecutive decimal numbers, and gives out only those
// that can follow the one before. It holds one event at most, and reads each byte once. The zero
// Parser is one for a stream from its start, without a bound on an event's length.
type Parser struct {
	buf     []byte
	checked int // bytes of buf in lines that were checked
	scanned int // bytes of buf in which the end of the next line was looked for
	whole   int // bytes of buf in whole events
	ev      partial
	last    string // the last event's id
	next    uint64 // the next event's id; 0: not known
	started bool   // next is set
	count   int
	max     int
	failed  *Fault
}

// partial is what is known of the event being read.
type partial struct {
	fields bool // that make it an event, and not a comment
	ids    int
	id     uint64
	text   string // of the id
}

// New returns a parser of a stream that goes on after an event, or begins where its id is empty. After
// an id that is no number any may follow. Events of more than max bytes are faults; 0: no bound.
func New(after string, max int) *Parser {
	p := &Parser{last: after, max: max}
	if after != "" {
		p.started = true
		if n, ok := parseID([]byte(after)); ok {
			p.next = n + 1
		}
	}
	return p
}

// AnyStart allows a stream to begin with any id.
func (p *Parser) AnyStart() { p.next, p.started = 0, true }

// Add appends bytes. It returns the whole events in the buffer, comments between them included, valid until the
// next call, and a fault if the bytes after them can't belong to the stream. Once there is a fault,
// nothing that is added follows.
func (p *Parser) Add(b []byte) (whole []byte, f *Fault) {
	if p.failed != nil {
		return p.buf[:p.whole], p.failed
	}
	if !p.started {
		p.next, p.started = FirstID, true
	}
	p.buf = append(p.buf, b...)
	for p.failed == nil {
		at := bytes.IndexByte(p.buf[p.scanned:], '\n')
		if at < 0 {
			p.scanned = len(p.buf)
			break
		}
		end := p.scanned + at + 1
		p.failed = p.line(bytes.TrimSuffix(p.buf[p.checked:end-1], []byte{'\r'}), end)
		p.checked, p.scanned = end, end
	}
	if p.failed == nil && p.max > 0 && len(p.buf)-p.whole > p.max {
		p.failed = p.fault(TooLong, p.buf[p.whole:])
	}
	return p.buf[:p.whole], p.failed
}

// line checks a line that ends at an offset of the buffer.
func (p *Parser) line(line []byte, end int) *Fault {
	if len(line) == 0 {
		return p.endEvent(end)
	}
	if !isText(line) {
		return p.fault(NotText, line)
	}
	if line[0] == ':' {
		return nil
	}
	name, value, colon := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "id":
		return p.addID(bytes.TrimPrefix(value, []byte{' '}))
	case "retry":
		return nil
	case "data", "event":
	default:
		if !colon || !isExtension(name) {
			return p.fault(NotAField, line)
		}
	}
	p.ev.fields = true
	return nil
}

// addID checks the id of the event being read.
func (p *Parser) addID(id []byte) *Fault {
	p.ev.fields = true
	p.ev.ids++
	if p.ev.ids > 1 {
		return p.fault(SeveralIDs, id)
	}
	if len(id) == 0 {
		return p.fault(MissingID, id)
	}
	n, ok := parseID(id)
	switch {
	case !ok:
		return p.fault(UnreadableID, id)
	case p.next == 0 || n == p.next:
		p.ev.id, p.ev.text = n, string(id)
		return nil
	case n > p.next:
		return p.fault(SkippedID, id)
	case n+1 == p.next:
		return p.fault(RepeatedID, id)
	default:
		return p.fault(EarlierID, id)
	}
}

// endEvent ends the event being read at an offset of the buffer.
func (p *Parser) endEvent(end int) *Fault {
	ev := p.ev
	p.ev = partial{}
	switch {
	case !ev.fields: // comments, or an empty line
		p.whole = end
		return nil
	case ev.ids == 0:
		return p.fault(MissingID, nil)
	}
	p.whole, p.last, p.next = end, ev.text, ev.id+1
	p.count++
	return nil
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

// Last returns the id of the last whole event, or the one that the stream goes on after.
func (p *Parser) Last() string { return p.last }

// Count returns the number of whole events.
func (p *Parser) Count() int { return p.count }

// Len returns the bytes in the buffer, and Size those of memory that it has.
func (p *Parser) Len() int  { return len(p.buf) }
func (p *Parser) Size() int { return cap(p.buf) }

// parseID returns the number of an id, which has no sign and no leading zeros.
func parseID(id []byte) (n uint64, ok bool) {
	if len(id) == 0 || id[0] == '+' || id[0] == '0' && len(id) > 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(string(id), 10, 63)
	return n, err == nil
}

// isText reports whether a line is UTF-8 without control characters other than tabs.
func isText(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return utf8.Valid(line)
}

// isExtension reports whether a name can be that of a field which the standard doesn't name, in lower case as
// its own are.
func isExtension(name []byte) bool {
	for i, c := range name {
		letter := c >= 'a' && c <= 'z'
		if !letter && (i == 0 || c != '-' && c != '_' && (c < '0' || c > '9')) {
			return false
		}
	}
	return len(name) > 0
}
