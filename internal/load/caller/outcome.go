package caller

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Outcome is all that a caller saw of one request.
type Outcome struct {
	End     End
	Verdict verdict.Verdict // where End isn't Answered
	// FromServer says that the verdict was read from an answer; else it is this
	// side's own conclusion.
	FromServer bool
	// NoVerdict says that a failure answer came without its verdict.
	NoVerdict bool
	// Ambiguous says that an attempt before the last may have run.
	Ambiguous bool
	// Accepted says that a stream was begun.
	Accepted bool
	Err      error // why it was not answered

	First time.Time       // arrival of the first token
	Done  time.Time       // arrival of the answer's end
	Gaps  []time.Duration // between the arrivals of neighbouring tokens
	Text  []byte

	Tokens     int // tokens held at the end
	Duplicated int // tokens that came again
	Missing    int // tokens that were jumped over
	Usage      *engineapi.Usage

	Reasons []string // why each attempt failed that did

	Sent    int // times the request was sent
	Resumes int // times its stream was taken up again after a break
	Moves   int // times it was taken up elsewhere because it had moved
}

// token takes one token at its arrival.
func (o *Outcome) token(now, last time.Time, text []byte) {
	if o.First.IsZero() {
		o.First = now
	} else {
		o.Gaps = append(o.Gaps, now.Sub(last))
	}
	o.Text = append(o.Text, text...)
}

// fail ends the request with what is known of it.
func (o *Outcome) fail(end End, v verdict.Verdict, err error) {
	o.End = end
	o.Verdict = v
	o.Err = err
}
