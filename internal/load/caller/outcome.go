package caller

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Outcome is what a caller observed of one request.
type Outcome struct {
	End     End
	Verdict verdict.Verdict // where End isn't Answered
	// FromServer is whether the verdict was read from an answer; otherwise the
	// client derived it.
	FromServer bool
	// NoVerdict is whether a failure answer lacked a verdict.
	NoVerdict bool
	// Ambiguous is whether an attempt before the last may have run.
	Ambiguous bool
	// Accepted is whether a stream was started.
	Accepted bool
	Err      error // why it was not answered

	First time.Time       // arrival of the first token
	Done  time.Time       // arrival of the answer's end
	Gaps  []time.Duration // between the arrivals of consecutive tokens
	Text  []byte

	Tokens     int // offset of the last token received
	Duplicated int // tokens received more than once
	Missing    int // tokens skipped by the offsets
	Usage      *engineapi.Usage

	Reasons []string // of the failed attempts, in order

	Sent    int // times the request was sent
	Resumes int // times its stream was resumed after a failure
	Moves   int // times its stream was resumed elsewhere after a moved event
}

// addToken records the arrival of one event's tokens; last is the arrival before.
func (o *Outcome) addToken(now, last time.Time, text []byte) {
	if o.First.IsZero() {
		o.First = now
	} else {
		o.Gaps = append(o.Gaps, now.Sub(last))
	}
	o.Text = append(o.Text, text...)
}

// fail records how the request ended without its whole answer.
func (o *Outcome) fail(end End, v verdict.Verdict, err error) {
	o.End = end
	o.Verdict = v
	o.Err = err
}
