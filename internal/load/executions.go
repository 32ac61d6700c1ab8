package load

import (
	"context"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// executions reads from the services how often the request of each idempotency
// key ran. A replica answers for its whole service, so the highest count of a key
// counts, and an unreachable replica does not matter. It returns nil if none
// answers.
func (m *meter) executions(ctx context.Context) map[string]int {
	m.mu.Lock()
	services := slices.Clone(m.services)
	m.mu.Unlock()
	var runs map[string]int
	for _, address := range services {
		var ran map[string]int
		if err := m.read(ctx, address, serviceapi.ExecutionsPath, &ran); err != nil {
			continue
		}
		if runs == nil {
			runs = make(map[string]int, len(ran))
		}
		for key, n := range ran {
			runs[key] = max(runs[key], n)
		}
	}
	return runs
}
