package daemon

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// Drain implements operator.Backend.
func (o *operators) Drain(ctx context.Context, id, who string, q operator.Drain) operator.ChangeResult {
	// A wish for a mistyped id would be accepted and drain nothing.
	if _, listed := o.daemon.routing.Address(fleet.EndpointID(id)); q.Drain && !listed {
		return operator.ChangeResult{Outcome: template.Refused, Reason: "the instance list has no endpoint " + strconv.Quote(id)}
	}
	object, err := o.objects.Get(ctx, drain.Kind, id)
	var missing *outside.NotFound
	if err != nil && !errors.As(err, &missing) {
		return o.past.unread(q.Operation, err)
	}
	object.Name = id
	current, err := drain.RecordOf(object)
	if err != nil {
		return refusedChange(err)
	}
	value, err := current.Next(time.Now(), q.Drain, who, q.Why, q.Operation)
	if err != nil {
		return operator.ChangeResult{Outcome: template.Refused, Reason: err.Error(), Problems: []template.Problem{{Message: err.Error()}}}
	}
	mine := func(found objectapi.Object) bool {
		r, err := drain.RecordOf(found)
		return err == nil && r.Audit.Find(q.Operation) >= 0
	}
	var w outside.WriteResult
	if current.Version == 0 {
		w = o.objects.CreateOrReadBack(ctx, drain.Kind, id, value, mine)
	} else {
		w = o.objects.UpdateOrReadBack(ctx, drain.Kind, id, value, current.Version, mine)
	}
	return o.past.keep(q.Operation, writeResult(w))
}

func writeResult(w outside.WriteResult) operator.ChangeResult {
	out := operator.ChangeResult{Version: w.Object.Version, Current: w.Object.Version}
	switch w.State {
	case outside.WriteAccepted:
		out.Outcome = template.Accepted
	case outside.WriteUnknown:
		out.Outcome, out.Reason = template.Unknown, w.Err.Error()
	case outside.WriteNotSent:
		out = refusedChange(w.Err)
	default:
		out.Outcome, out.Reason = template.Refused, "another change came first"
	}
	return out
}
