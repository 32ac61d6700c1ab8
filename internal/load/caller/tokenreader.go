package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
)

// maxEvent bounds an event, in bytes. A token's event has about 200.
const maxEvent = 1 << 20

// tokenReader reads the streams of one answer and checks that the tokens are
// consecutive across all of them.
type tokenReader struct {
	dec   *eventstream.Reader
	chunk chunk
	out   *Outcome
	last  time.Time // arrival of the last token
}

// read reads one stream to its end. progress is called for each event.
func (t *tokenReader) read(body io.Reader, progress func()) step {
	if t.dec == nil {
		t.dec = eventstream.NewReader(body, eventstream.Unordered, maxEvent)
	} else {
		t.dec.Reset(body)
	}
	for {
		ev, err := t.dec.Next()
		if err != nil {
			return brokenStep(Error.Wrap(err))
		}
		progress()
		if s, end := t.handleEvent(&ev); end {
			return s
		}
	}
}

// handleEvent processes one event. It returns true and a step if the stream ends
// with it.
func (t *tokenReader) handleEvent(ev *eventstream.Event) (step, bool) {
	switch string(ev.Name) {
	case "", "message":
		return t.handleChunk(ev)
	case movedEvent:
		var m movedTo
		// A move whose data can't be decoded still means another entry: any.
		_ = json.Unmarshal(ev.Data, &m)
		return step{kind: moved, address: m.Address}, true
	case errorEvent:
		return step{kind: failed, failure: parseProblem(ev.Data)}, true
	default:
		return step{}, false // accepted, or an event of a later version
	}
}

// handleChunk processes one chunk of the answer.
func (t *tokenReader) handleChunk(ev *eventstream.Event) (step, bool) {
	if bytes.Equal(ev.Data, []byte(doneData)) {
		t.finish()
		return step{kind: whole}, true
	}
	if text, ok := plainToken(ev.Data); ok {
		return t.handleToken(ev, text)
	}
	if err := t.chunk.parse(ev.Data); err != nil {
		return brokenStep(err), true
	}
	if len(t.chunk.Choices) == 0 {
		return brokenStep(Error.New("event %q holds no choice", ev.ID)), true
	}
	if text := t.chunk.content(); text != "" {
		if s, end := t.handleToken(ev, []byte(text)); end {
			return s, true
		}
	}
	if t.chunk.finished() {
		t.out.Usage = t.chunk.Usage
		t.finish()
		return step{kind: whole}, true
	}
	return step{}, false
}

// finish records the arrival of the answer's end.
func (t *tokenReader) finish() {
	t.out.Done = time.Now()
}

// handleToken processes the text of one event. The event's id is the number of
// tokens up to and including it, so an id that does not follow the last one
// reveals missing or duplicated tokens. It returns true and a step if the event has no id.
func (t *tokenReader) handleToken(ev *eventstream.Event, text []byte) (step, bool) {
	n := 1
	id, err := strconv.Atoi(string(ev.ID))
	if err != nil {
		return brokenStep(Error.New("token without an id after %d tokens", t.out.Tokens)), true
	}
	if id != t.out.Tokens+n {
		n = len(bytes.Fields(text)) // an event may hold several tokens
	}
	switch ahead := id - t.out.Tokens; {
	case ahead <= 0:
		t.out.Duplicated += n
		return step{}, false
	case ahead < n:
		t.out.Duplicated += n - ahead
	case ahead > n:
		t.out.Missing += ahead - n
	}
	now := time.Now()
	t.out.addToken(now, t.last, text)
	t.last = now
	t.out.Tokens = id
	return step{}, false
}
