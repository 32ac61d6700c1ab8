package outside

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

// Result is how a call ended, for metrics.
type Result string

// The results.
const (
	ResultOK          Result = "ok"
	ResultConflict    Result = "conflict"
	ResultNotFound    Result = "not-found"
	ResultGone        Result = "gone"
	ResultUnavailable Result = "unavailable"
	ResultAmbiguous   Result = "ambiguous"
	ResultRefused     Result = "refused" // by the budget; the call wasn't made
	ResultRateLimited Result = "rate-limited"
	ResultRejected    Result = "rejected"
)

// Call describes a finished call.
type Call struct {
	Kind   budget.Kind
	Class  budget.Class
	Op     string // "get", "list", "watch", "create", "update", "delete", "launch" …
	Object string // kind of object, for the object API
	Result Result
	Wait   time.Duration // for the budget
	Took   time.Duration // from leaving the budget to the answer
}

// Observer is called with every finished call, from several goroutines at a time. It must not
// block.
type Observer interface {
	Called(Call)
}

// NoObserver ignores all calls.
type NoObserver struct{}

// Called does nothing.
func (NoObserver) Called(Call) {}
