package load

import (
	"context"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
)

// executions asks the services how often each idempotency key ran. A replica
// answers for its whole service, so the highest count of a key is taken, and a
// replica that is gone takes nothing away. It is nil where none answers.
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
