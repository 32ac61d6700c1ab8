package outside

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

// Instances is the client of the instance list.
type Instances struct {
	caller *caller
}

// List returns the instances as they were some time ago.
func (i Instances) List(ctx context.Context) (listapi.List, error) {
	req, err := i.caller.base.New().Get(listapi.ListPath).Request()
	if err != nil {
		return listapi.List{}, Error.Wrap(err)
	}
	call := operation{
		kind:    budget.ListRead,
		class:   budget.Configuration,
		op:      "list",
		refuses: true,
		timeout: callTimeout,
		limit:   listLimit,
	}
	return decoded[listapi.List](i.caller.do(ctx, call, req))
}
