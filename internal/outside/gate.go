package outside

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

// maxWaiters bounds the calls that wait for the budget at once. Further ones
// are refused: they would wait for longer than their callers do.
const maxWaiters = 512

// gate holds the daemon's one budget, and calls that wait for it.
type gate struct {
	mu      sync.Mutex
	budget  *budget.Budget
	random  *rand.Rand
	roles   budget.Roles
	waiters int
}

func newGate(c budget.Config, random *rand.Rand) *gate {
	return &gate{budget: budget.New(c, time.Now(), random), random: random}
}

// admit returns nil once the call may be made, and Refused or the context's error otherwise.
func (g *gate) admit(ctx context.Context, c budget.Class, k budget.Kind) error {
	for {
		d, err := g.ask(c, k)
		switch {
		case err != nil:
			return err
		case d.Action == budget.Allowed:
			return nil
		case d.Action == budget.Refused || misses(ctx, d.At):
			return &Refused{Reason: d.Reason, Until: d.At}
		}
		if err := g.sleep(ctx, d.At); err != nil {
			return err
		}
	}
}

func (g *gate) ask(c budget.Class, k budget.Kind) (budget.Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.budget.Admit(time.Now(), c, k)
	if d.Action == budget.WaitUntil && g.waiters >= maxWaiters {
		return d, &Refused{Reason: d.Reason, Until: d.At}
	}
	return d, nil
}

func (g *gate) sleep(ctx context.Context, until time.Time) error {
	g.addWaiters(1)
	defer g.addWaiters(-1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &Unavailable{Err: Error.Wrap(context.Cause(ctx))}
	}
}

func (g *gate) addWaiters(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters += n
}

func (g *gate) report(k budget.Kind, o budget.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Report(time.Now(), k, o)
}

func (g *gate) setFleetSize(daemons int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetFleetSize(time.Now(), daemons)
}

// setRoles changes this daemon's roles in the budget.
func (g *gate) setRoles(change func(*budget.Roles)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.roles
	change(&g.roles)
	if g.roles != before {
		g.budget.SetRoles(time.Now(), g.roles)
	}
}

// nextWait draws the next wait of a backoff.
func (g *gate) nextWait(b *budget.Backoff) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.Next(g.random)
}

// misses reports whether waiting until at goes beyond the context's deadline.
func misses(ctx context.Context, at time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ok && at.After(deadline)
}
