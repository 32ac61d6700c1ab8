package outside

import (
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/zeebo/errs"
)

// Error is the class of errors made by this package.
var Error = errs.Class("outside")

// Conflict is a write whose condition didn't hold. It had no effect.
type Conflict struct {
	Current objectapi.Object // Version 0 where there is no object
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("the object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// NotFound is a read of an object, or the end of an instance, that isn't there.
type NotFound struct {
	Kind string
	Name string
}

func (e *NotFound) Error() string { return fmt.Sprintf("there is no %s/%s", e.Kind, e.Name) }

// Gone is a watch from a version that is too old, or not of this store: list again.
type Gone struct{}

func (e *Gone) Error() string { return "the watch's start is no longer known" }

// Unavailable is a call that didn't succeed and certainly had no effect:
// nothing was written, the API's contract says so, or it was a read.
type Unavailable struct {
	Err error
}

func (e *Unavailable) Error() string { return "unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Err }

// Ambiguous is a write that may have taken effect: its answer was lost. It is
// wrapped as verdict.MayHaveRun.
type Ambiguous struct {
	Err error
}

func (e *Ambiguous) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Ambiguous) Unwrap() error { return e.Err }

// Refused is a call that the budget refused. It had no effect.
type Refused struct {
	Reason budget.Reason
	Until  time.Time // when to try again
}

func (e *Refused) Error() string { return "not called: " + e.Reason.String() }

// RateLimited is a call that the API refused because of its rate. It had no effect.
type RateLimited struct {
	After time.Duration
}

func (e *RateLimited) Error() string {
	return "the API asks to wait for " + e.After.String()
}

// Rejected is a call that the API finds invalid, or doesn't serve as it is.
// It had no effect.
type Rejected struct {
	Status int // HTTP
	Detail string
}

func (e *Rejected) Error() string { return fmt.Sprintf("rejected with %d: %s", e.Status, e.Detail) }

// NoEffect reports whether err proves that the failed call had no effect at
// the platform. It says nothing about a caller's request, which the call was
// made for: such errors carry no verdict, so that the failed record of an
// order that ran is not taken for proof that it didn't.
func NoEffect(err error) bool {
	if err == nil {
		return false
	}
	var (
		conflict    *Conflict
		notFound    *NotFound
		gone        *Gone
		unavailable *Unavailable
		ambiguous   *Ambiguous
		refused     *Refused
		limited     *RateLimited
		rejected    *Rejected
		market      *MarketRefusal
	)
	if errors.As(err, &ambiguous) {
		return false
	}
	return errors.As(err, &unavailable) || errors.As(err, &refused) ||
		errors.As(err, &conflict) || errors.As(err, &notFound) ||
		errors.As(err, &gone) || errors.As(err, &limited) ||
		errors.As(err, &rejected) || errors.As(err, &market)
}
