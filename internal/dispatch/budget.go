package dispatch

import (
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// lockedBudget is the daemon's one retry budget, shared by all runs.
type lockedBudget struct {
	mu     sync.Mutex
	budget *request.RetryBudget
}

var _ request.Budget = (*lockedBudget)(nil)

func newLockedBudget() *lockedBudget {
	return &lockedBudget{budget: request.NewRetryBudget(request.DefaultRetryShare, request.DefaultMinRetries)}
}

// Success implements request.Budget.
func (b *lockedBudget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Success(now)
}

// Take implements request.Budget.
func (b *lockedBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now)
}

// runBudget is the budget of one run.
//
// Failure: a data centre's engines vanish, and more streams break at once than
// the budget has retries. Symptom: accepted requests are given up though other
// engines live, and their callers send them again from the start, which costs
// more. So an accepted request's retries are counted and never refused; their
// number is bounded by its attempts.
type runBudget struct {
	*lockedBudget
	run *run
}

var _ request.Budget = runBudget{}

// Take implements request.Budget. Called with the run's lock held.
func (b runBudget) Take(now time.Time) bool {
	return b.lockedBudget.Take(now) || b.run.accepted
}
