package dispatch

import (
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// lockedBudget is the daemon's retry budget, which all runs share.
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

// runBudget is the daemon's retry budget as one run uses it. Retries of an
// accepted request are counted but never refused; the limit on its attempts
// bounds them. When a data centre's engines disappear, more streams break at
// once than the budget has retries: giving up accepted requests while other
// engines are alive would make their callers send them again from the start,
// which costs more.
type runBudget struct {
	*lockedBudget
	run *run
}

var _ request.Budget = runBudget{}

// Take implements request.Budget. Called with the run's lock held.
func (b runBudget) Take(now time.Time) bool {
	return b.lockedBudget.Take(now) || b.run.accepted
}
