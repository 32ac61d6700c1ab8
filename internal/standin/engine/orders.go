package engine

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// obey carries out an order. It returns a refusal for an old fencing number,
// if the engine fences. Repeating an order changes nothing.
func (e *Engine) obey(o engineapi.Order) *engineapi.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.Fences && o.Fencing < e.fencing {
		return &engineapi.Refusal{Error: "old fencing number", Fencing: e.fencing}
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case engineapi.LoadModel:
		e.startLoading(o.Model)
	case engineapi.UnloadModel:
		e.unload(o.Model)
	case engineapi.SetRole:
		e.role = o.Role
	}
	return nil
}

// startLoading makes the model appear after LoadTime. The caller holds mu.
func (e *Engine) startLoading(m fleet.ModelRef) {
	if _, busy := e.loading[m]; busy || e.closed || slices.Contains(e.models, m) {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.loading[m] = cancel
	at := time.Now().Add(time.Duration(float64(e.o.LoadTime) * e.slowness()))
	e.work.Go(func() {
		if sleepUntil(ctx, at) {
			e.loaded(ctx, m)
		}
	})
}

// loaded adds the model unless it was unloaded meanwhile.
func (e *Engine) loaded(ctx context.Context, m fleet.ModelRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.loading[m]()
	delete(e.loading, m)
	e.models = append(e.models, m)
}

// unload forgets the model and stops loading it. Running streams go on. The
// caller holds mu.
func (e *Engine) unload(m fleet.ModelRef) {
	if cancel, ok := e.loading[m]; ok {
		cancel()
		delete(e.loading, m)
	}
	e.models = slices.DeleteFunc(e.models, func(have fleet.ModelRef) bool { return have == m })
}

// serves reports whether a loaded model satisfies want. The caller holds mu.
func (e *Engine) serves(want fleet.ModelRef) bool {
	return slices.ContainsFunc(e.models, func(have fleet.ModelRef) bool { return have.Satisfies(want) })
}

// Models returns what the engine holds.
func (e *Engine) Models() []fleet.ModelRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}
