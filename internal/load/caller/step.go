package caller

import (
	"errors"
	"net"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// stepKind is how one attempt ended.
type stepKind uint8

const (
	whole  stepKind = iota // the whole answer was read
	moved                  // the stream continues at address, or at any entry if it is empty
	broken                 // err ended the attempt without a failure answer
	failed                 // the entry answered with a failure
)

// step is the result of one attempt.
type step struct {
	kind    stepKind
	address string
	err     error
	failure *failure
}

// brokenStep returns the step of an attempt that err ended.
func brokenStep(err error) step { return step{kind: broken, err: err} }

// verdictOf returns the verdict of a broken or failed step.
func (s step) verdictOf() verdict.Verdict {
	if s.kind == failed {
		return s.failure.verdict
	}
	return transportVerdict(s.err)
}

func (s step) cause() error {
	if s.kind == failed {
		return s.failure.err
	}
	return s.err
}

// reason returns a short text, the same for similar failures, by which they are
// counted.
func (s step) reason() string {
	var op *net.OpError
	switch {
	case s.kind == failed:
		return strconv.Itoa(s.failure.status) + " " + s.failure.verdict.String()
	case errors.Is(s.err, errNoProgress):
		return "silence"
	case errors.As(s.err, &op):
		return op.Op + " failed"
	default:
		return "connection broken"
	}
}
