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
