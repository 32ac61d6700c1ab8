package load

import (
	"context"
	"fmt"
)

// Deploy starts a deployment with a policy. stop ends it and is called once
// after each run.
type Deploy func(ctx context.Context, policy string) (t Target, stop func(), err error)

// Experiment runs the same work against several policies at several loads, each
// on a deployment of its own, so that no run inherits another's caches.
type Experiment struct {
	Policies []string
	Loads    []float64 // shares of Options.Capacity
	// Options of every run; target, policy, load and rate are set by the experiment.
	Options Options
	Deploy  Deploy
	// Done, where set, is called after each run.
	Done func(*Result)
}

// Run runs every policy at every load, one after the other. All runs share the
// answers to prompts, so texts are compared over policies as well. On an error
// it returns the results so far with it.
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
			r, err := e.one(ctx, policy, load, book)
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

func (e *Experiment) one(ctx context.Context, policy string, load float64, book *AnswerBook) (*Result, error) {
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
