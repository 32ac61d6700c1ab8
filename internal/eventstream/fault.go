package eventstream

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("event stream")

// Kind is why bytes can't follow in a stream.
type Kind string

// The kinds.
const (
	NotAField    Kind = "not-a-field"    // a line that is neither a field nor a comment
	NotText      Kind = "not-text"       // invalid UTF-8 or control characters
	MissingID    Kind = "missing-id"     // an event without an id, or with an empty one
	MissingData  Kind = "missing-data"   // an event without data, which readers drop
	SeveralIDs   Kind = "several-ids"    // an event with more than one id
	UnreadableID Kind = "unreadable-id"  // an id that is no decimal number
	RepeatedID   Kind = "repeated-id"    // the id of the last event
	EarlierID    Kind = "earlier-id"     // the id of an event before that
	SkippedID    Kind = "skipped-id"     // a later id than that of the next event
	TooLong      Kind = "event-too-long" // no end of an event
)

// Fault says why the bytes that follow can't belong to a stream.
type Fault struct {
	Kind Kind
	// After is the id of the last event before them, empty if there is none or if it isn't known.
	After string
	// Text is what was found: the beginning of a line, or an id.
	Text string
}

// maxFaultText bounds Text, in bytes.
const maxFaultText = 24

func (f *Fault) Error() string {
	return fmt.Sprintf("event stream: %s after event %q: %q", f.Kind, f.After, f.Text)
}
