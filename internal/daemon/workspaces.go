package daemon

import (
	"fmt"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// workspaceStatus judges how far a workspace is from what its template asks: it
// is late when a model has no engine at all, at risk when it has fewer than
// the template wants, and ready otherwise.
func (d *Daemon) workspaceStatus(now time.Time, w *template.Workspace) operator.WorkspaceStatus {
	out := operator.WorkspaceStatus{Workspace: w.ID, State: operator.StateReady}
	for _, c := range w.Closings {
		if c.At.After(now) && (out.Closing == "" || c.At.Format(time.RFC3339) < out.Closing) {
			out.Closing = c.At.Format(time.RFC3339)
		}
	}
	list := d.routing.current.Load().list
	for _, m := range w.Models {
		have := replicas(list, m.Ref)
		other := replicas(list, fleet.ModelRef{Model: m.Ref.Model, Adapter: m.Ref.Adapter}) - have
		switch {
		case have == 0 && other > 0:
			out.State = operator.StateAtRisk
			out.Reason = fmt.Sprintf("%d engines hold another version of %s", other, m.Ref.Model)
		case have == 0:
			out.State = operator.StateLate
			out.Reason = fmt.Sprintf("no engine holds %s", m.Ref.Model)
			return out
		case have < m.MinReplicas:
			out.State = operator.StateAtRisk
			out.Reason = fmt.Sprintf("%d of %d engines hold %s", have, m.MinReplicas, m.Ref.Model)
		}
	}
	return out
}

// replicas counts the live engines that hold a model.
func replicas(list []fleet.Endpoint, want fleet.ModelRef) int {
	n := 0
	for _, e := range list {
		if e.Kind != fleet.EngineEndpoint || e.State != fleet.Live {
			continue
		}
		for _, m := range e.Models {
			if m.Satisfies(want) {
				n++
				break
			}
		}
	}
	return n
}
