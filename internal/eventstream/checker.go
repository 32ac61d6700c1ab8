package eventstream

import (
	"encoding/binary"
	"strconv"
	"unicode/utf8"
)

// Numbering says which ids the events of a stream have.
type Numbering uint8

// The kinds of numbering. Every id is a decimal number, and an event has one at most.
const (
	Consecutive         Numbering = iota // every event has data and an id, one more than that of the event before
	ConsecutiveOptional                  // as Consecutive, but events may lack the id field
	Unordered                            // ids in any order; events may lack one or have an empty one
)

// checker checks the lines of a stream: whether they are fields, and whether their events can follow
// the ones before. The zero checker is for a stream of consecutive ids from its start.
type checker struct {
	numbering Numbering
	// extensions are the fields that events may have beside those of the standard. Any name in lower case
	// counts as one if anyField is set.
	extensions []string
	anyField   bool
	ev         partial
	last       []byte // the last event's id
	next       uint64 // the next event's id; 0: not known
	restarts   bool   // the first event may also be that of a new stream
	started    bool   // next is set
	count      int
}

// partial is what is known of the event being read.
type partial struct {
	fields bool // that make it an event, and not a comment
	data   bool
	ids    int
	id     uint64
	text   []byte // of the id
}

// fieldName is the name of a field that readers use.
type fieldName uint8

const (
	otherField fieldName = iota
	dataField
	eventField
	idField
)

// start sets the first id of a stream that begins.
func (c *checker) start() {
	if !c.started {
		c.next, c.started = FirstID, true
	}
}

// anyStart allows a stream to begin with any id.
func (c *checker) anyStart() { c.next, c.started = 0, true }

// AllowRestart allows a stream that goes on after an event to begin anew instead.
func (c *checker) AllowRestart() { c.restarts = true }

// NeedsEvent reports whether the stream can't end here, since it begins and every stream holds an event.
func (c *checker) NeedsEvent() bool { return !c.started || c.restarts || c.next == FirstID }

// line checks a line without its line ending. An empty one ends an event.
func (c *checker) line(line []byte) (f fieldName, value []byte, fault *Fault) {
	if len(line) == 0 {
		return otherField, nil, c.endEvent()
	}
	if !isText(line) {
		return otherField, nil, c.fault(NotText, line)
	}
	if line[0] == ':' {
		return otherField, nil, nil
	}
	name, value, colon := cutField(line)
	switch string(name) {
	case "id":
		f, fault = idField, c.addID(value)
	case "retry":
		return otherField, nil, nil
	case "data":
		f, c.ev.data = dataField, true
	case "event":
		f = eventField
	default:
		if !colon || !c.isExtension(name) {
			return otherField, nil, c.fault(NotAField, line)
		}
	}
	c.ev.fields = true
	return f, value, fault
}

// cutField splits a line at its colon, and removes the space after it. Names are a few bytes long, where a
// loop is faster than bytes.Cut.
func cutField(line []byte) (name, value []byte, colon bool) {
	for i, c := range line {
		if c != ':' {
			continue
		}
		value = line[i+1:]
		if len(value) > 0 && value[0] == ' ' {
			value = value[1:]
		}
		return line[:i], value, true
	}
	return line, nil, false
}

// addID checks the id of the event being read.
func (c *checker) addID(id []byte) *Fault {
	c.ev.ids++
	if c.ev.ids > 1 {
		return c.fault(SeveralIDs, id)
	}
	if len(id) == 0 {
		if c.numbering == Unordered {
			return nil
		}
		return c.fault(MissingID, id)
	}
	n, ok := parseID(id)
	switch {
	case !ok:
		return c.fault(UnreadableID, id)
	case c.numbering == Unordered || c.next == 0 || n == c.next || c.restarts && n == FirstID:
		c.ev.id, c.ev.text = n, append(c.ev.text, id...)
		return nil
	case n > c.next:
		return c.fault(SkippedID, id)
	case n+1 == c.next:
		return c.fault(RepeatedID, id)
	default:
		return c.fault(EarlierID, id)
	}
}

// endEvent ends the event being read.
func (c *checker) endEvent() *Fault {
	ev := c.ev
	c.ev = partial{text: ev.text[:0]}
	switch {
	case !ev.fields: // comments, or an empty line
		return nil
	case c.numbering == Consecutive && len(ev.text) == 0:
		return c.fault(MissingID, nil)
	case c.numbering == Consecutive && !ev.data:
		return c.fault(MissingData, ev.text)
	case len(ev.text) > 0:
		c.ev.text, c.last, c.next = c.last[:0], ev.text, ev.id+1
		c.restarts = false
	case ev.data && c.next > 0:
		c.next++
	}
	c.count++
	return nil
}

// Last returns the id of the last whole event, or the one that the stream goes on after.
func (c *checker) Last() string { return string(c.last) }

// Count returns the number of whole events.
func (c *checker) Count() int { return c.count }

func (c *checker) fault(k Kind, text []byte) *Fault {
	return &Fault{Kind: k, After: string(c.last), Text: string(text[:min(len(text), maxFaultText)])}
}

// parseID returns the number of an id, which has no sign and no leading zeros.
func parseID(id []byte) (n uint64, ok bool) {
	if len(id) == 0 || id[0] == '+' || id[0] == '0' && len(id) > 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(string(id), 10, 63)
	return n, err == nil
}

// Patterns that repeat a byte in each byte of a word.
const (
	ones  = 0x0101010101010101
	highs = 0x80 * ones
)

// isText reports whether a line is UTF-8 without control characters other than tabs and DEL, which JSON
// doesn't escape. Most lines are plain ASCII, of which eight bytes are checked at once.
func isText(line []byte) bool {
	rest := line
	for len(rest) >= 8 {
		w := binary.LittleEndian.Uint64(rest)
		// The high bit of a byte gets set by what is below a space or not ASCII.
		if (w|(w-' '*ones))&highs != 0 {
			break
		}
		rest = rest[8:]
	}
	ascii := true
	for _, b := range rest {
		if b < ' ' && b != '\t' {
			return false
		}
		ascii = ascii && b < utf8.RuneSelf
	}
	return ascii || utf8.Valid(rest)
}

// isExtension reports whether a name is that of a field which events may have though the standard doesn't
// name it.
func (c *checker) isExtension(name []byte) bool {
	for _, extension := range c.extensions {
		if string(name) == extension {
			return true
		}
	}
	return c.anyField && isLowerCase(name)
}

// isLowerCase reports whether a name is in lower case, as those of the standard are.
func isLowerCase(name []byte) bool {
	for i, c := range name {
		letter := c >= 'a' && c <= 'z'
		if !letter && (i == 0 || c != '-' && c != '_' && (c < '0' || c > '9')) {
			return false
		}
	}
	return len(name) > 0
}
