package relay

import (
	"io"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
)

const (
	// freeBufferBytes is what an answer may hold in memory without taking from the limit of all
	// answers: most plain answers, and the part of an event.
	freeBufferBytes = 32 << 10
	// bufferStepBytes is how much is taken from it at once.
	bufferStepBytes = 64 << 10
	// maxEventBytes bounds an event of a stream.
	maxEventBytes = 1 << 20
	// defaultAnswerBytes is the limit of all answers where none is set.
	defaultAnswerBytes = 32 << 20
)

// errNoEventMemory ends an attempt whose event doesn't fit the memory of all answers.
var errNoEventMemory = errs.New("no memory for more of an event")

// SetAnswerMemory sets the limit of the memory that answers hold which aren't passed on yet. It
// must be called before Serve.
func (r *Relay) SetAnswerMemory(l *memlimit.Limit) { r.answerMemory = l }

// hold makes room in the limit of all answers for one that has so many bytes. It reports whether
// there is room.
func (f *inflight) hold(bytes int) bool {
	for int64(bytes) > freeBufferBytes+f.held {
		if !f.relay.answerMemory.Take(bufferStepBytes) {
			return false
		}
		f.held += bufferStepBytes
	}
	return true
}

// releaseHeld gives all of it back.
func (f *inflight) releaseHeld() {
	if f.held > 0 {
		f.relay.answerMemory.Give(f.held)
		f.held = 0
	}
}

// readWhole reads an answer's body up to maxBufferedBytes, and less where the answers in progress
// hold too much memory. whole says that this is all of it.
func (f *inflight) readWhole(body io.Reader) (read []byte, whole bool, err error) {
	buf := make([]byte, 0, readBufferBytes)
	for {
		if len(buf) > maxBufferedBytes {
			return buf, false, nil
		}
		if len(buf) == cap(buf) {
			if !f.hold(2 * cap(buf)) {
				return buf, false, nil
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
}
