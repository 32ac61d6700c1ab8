package load

import (
	"context"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// executions asks all services how often each idempotency key ran and adds the
// counts up. It is nil where there is no service or one can't be asked: a sum
// without it would call an order lost that ran there.
func (m *meter) executions(ctx context.Context) map[string]int {
	m.mu.Lock()
	services := slices.Clone(m.services)
	m.mu.Unlock()
	if len(services) == 0 {
		return nil
	}
	sum := map[string]int{}
	for _, address := range services {
		var ran map[string]int
		if err := m.read(ctx, address, serviceapi.ExecutionsPath, &ran); err != nil {
			return nil
		}
		for key, n := range ran {
			sum[key] += n
		}
	}
	return sum
}
