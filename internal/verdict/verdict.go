// Package verdict says whether a request may have run. Every failure that a
// caller sees carries one, and every retry decision is made from one.
package verdict

import (
	"encoding"
	"errors"

	"github.com/zeebo/errs"
)

// Verdict says whether a request may have had an effect on an endpoint.
type Verdict uint8

// The verdicts. The zero value is the cautious one.
const (
	// MayHaveRun: bytes of the request left this process and nothing read
	// since proves what became of them.
	MayHaveRun Verdict = iota
	// NotRun: proof exists that no endpoint ran it: nothing was written, or
	// the endpoint's stated contract says so.
	NotRun
	// Ran: the endpoint's answer was read.
	Ran
)

// Header carries the verdict on every failure answer.
const Header = "Cyclamenbeam-Verdict"

// Error is the class of errors made by this package.
var Error = errs.Class("verdict")

var (
	_ encoding.TextMarshaler   = Verdict(0)
	_ encoding.TextUnmarshaler = (*Verdict)(nil)
)

// String returns the form that callers see: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// MarshalText returns String.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText accepts the three forms of String and nothing else.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not-run":
		*v = NotRun
	case "may-have-run":
		*v = MayHaveRun
	case "ran":
		*v = Ran
	default:
		return Error.New("unknown verdict %q", text)
	}
	return nil
}

// Failure is an error with a verdict.
type Failure struct {
	Verdict Verdict
	Err     error
}

// Wrap gives err a verdict. A nil err stays nil.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Failure{Verdict: v, Err: err}
}

func (f *Failure) Error() string { return f.Verdict.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Of returns the verdict of the outermost Failure in err's chain. An error
// without one is MayHaveRun: absence of proof proves nothing.
func Of(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}
