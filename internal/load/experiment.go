package load

import (
	"context"
	"fmt"
)

// Deploy starts a deployment with a routing policy. stop ends it and is called
// once, after its run.
type Deploy func(ctx context.Context, policy string) (t Target, stop func(), err error)

// Experiment sends the same requests with several routing policies at several
// loads, each to a new deployment, so that no run starts with another's caches.
type Experiment struct {
	Policies []string
	Loads    []float64 // shares of Options.Capacity
	// Options of every run; target, policy, load and rate are set by the experiment.
	Options Options
	Deploy  Deploy
	// Done, if not nil, is called after each run.
	Done func(*Result)
}

// Run runs every policy at every load, one after the other. All runs share the
// AnswerBook, so that texts are compared across policies as well. With an error it
// returns the results so far.
func (e *Experiment) Run(ctx context.Context) ([]*Result, error) {
	if len(e.Policies) == 0 || len(e.Loads) == 0 || e.Deploy == nil || e.Options.Capacity <= 0 {
		return nil, Error.New("an experiment needs policies, loads, a capacity and a way to deploy")
	}
	book := e.Options.Answers
	if book == nil {
		book = NewAnswerBook()
	}
	var results []*Result
	for _, load := range e.Loads {
		for _, policy := range e.Policies {
			r, err := e.runOne(ctx, policy, load, book)
			if err != nil {
				return results, Error.New("policy %s at load %v: %w", policy, load, err)
			}
			results = append(results, r)
			if e.Done != nil {
				e.Done(r)
			}
		}
	}
	return results, nil
}

// runOne runs one policy at one load.
func (e *Experiment) runOne(ctx context.Context, policy string, load float64, book *AnswerBook) (*Result, error) {
	target, stop, err := e.Deploy(ctx, policy)
	if err != nil {
		return nil, err
	}
	defer stop()
	o := e.Options
	o.Target, o.Policy, o.Load, o.Rate, o.Answers = target, policy, load, 0, book
	o.Name = fmt.Sprintf("%s at %s%%", policy, formatValue(100*load))
	return Run(ctx, o)
}
