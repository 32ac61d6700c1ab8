package operator

import (
	"errors"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// Error is the class of errors of this package.
var Error = errs.Class("operator")

func asProblem(err error, p **problem.Problem) bool { return errors.As(err, p) }
