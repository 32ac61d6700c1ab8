// Package verdict defines whether a failed request may have run. Every failure
// answer to a caller has a verdict, and retry decisions are based on it.
package verdict

import (
	"encoding"
	"errors"

	"github.com/zeebo/errs"
)

// Verdict says whether a request may have had an effect on an endpoint.
type Verdict uint8

// The verdicts. The zero value is the safe assumption.
const (
	// MayHaveRun: bytes of the request were sent, and no answer proves whether the
	// request ran.
	MayHaveRun Verdict = iota
	// NotRun: no endpoint can have run the request: nothing was sent, or the
	// contract of the endpoint's answer says so.
	NotRun
	// Ran: the endpoint's answer was read.
	Ran
)

// Header is the HTTP header with the verdict in every failure answer.
const Header = "Cyclamenbeam-Verdict"

// Error is the class of errors made by this package.
var Error = errs.Class("verdict")

var (
	_ encoding.TextMarshaler   = Verdict(0)
	_ encoding.TextUnmarshaler = (*Verdict)(nil)
)

// String returns the form in answers to callers: "not-run", "may-have-run" or
// "ran".
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

// MarshalText implements encoding.TextMarshaler with the form of String.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts only the three
// forms of String.
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

// Wrap returns err with a verdict, or nil if err is nil.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Failure{Verdict: v, Err: err}
}

func (f *Failure) Error() string { return f.Verdict.String() + ": " + f.Err.Error() }

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.Err }

// Of returns the verdict of the outermost Failure in err's chain. Without one it is
// MayHaveRun, since nothing proves that the request did not run.
func Of(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}
