package outside

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/weightapi"
)

// Weights is the client of the weight store.
type Weights struct {
	caller *caller
}

type weightQuery struct {
	Model   string `url:"model"`
	Adapter string `url:"adapter,omitempty"`
	Version string `url:"version,omitempty"`
}

// Fetch describes a model's weights; RateLimited when the store asks to wait.
func (w Weights) Fetch(ctx context.Context, ref fleet.ModelRef) (weightapi.Weights, error) {
	query := weightQuery{Model: ref.Model, Adapter: ref.Adapter, Version: ref.Version}
	req, err := w.caller.base.New().Get(weightapi.WeightsPath).QueryStruct(query).Request()
	if err != nil {
		return weightapi.Weights{}, Error.Wrap(err)
	}
	call := operation{
		kind:    budget.WeightFetch,
		class:   budget.Configuration,
		op:      "fetch",
		refuses: true,
		timeout: callTimeout,
		limit:   objectLimit,
	}
	return decoded[weightapi.Weights](w.caller.do(ctx, call, req))
}
