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
	whole  stepKind = iota // the answer's end was read
	moved                  // go on at address, any where it is empty
	broken                 // err, without an answer from the entry
	failed                 // the entry answered with a failure
)

// step is the end of one attempt.
type step struct {
	kind    stepKind
	address string
	err     error
	failure *failure
}

func breakOff(err error) step { return step{kind: broken, err: err} }

// verdictOf is what a step that failed proves about the request.
func (s step) verdictOf() verdict.Verdict {
	if s.kind == failed {
		return s.failure.verdict
	}
	return ownVerdict(s.err)
}

func (s step) cause() error {
	if s.kind == failed {
		return s.failure.err
	}
	return s.err
}

// reason says in a few words why the step failed, alike for alike failures, so
// that they can be counted.
func (s step) reason() string {
	var op *net.OpError
	switch {
	case s.kind == failed:
		return strconv.Itoa(s.failure.status) + " " + s.failure.verdict.String()
	case errors.Is(s.err, errSilent):
		return "silence"
	case errors.As(s.err, &op):
		return op.Op + " failed"
	default:
		return "connection broken"
	}
}
