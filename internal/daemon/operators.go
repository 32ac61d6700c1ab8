package daemon

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// operators carries out the operators' calls.
type operators struct {
	daemon  *Daemon
	objects outside.Objects
	past    *pastChanges
}

var _ operator.Backend = (*operators)(nil)

// operatorHandler returns the operators' API.
func (d *Daemon) operatorHandler() http.Handler {
	return operator.NewServer(d.operators, d.settings.Operators, d.metrics.serve)
}

// Templates implements operator.Backend.
func (o *operators) Templates(ctx context.Context) ([]operator.TemplateInfo, error) {
	records, err := o.records(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]operator.TemplateInfo, 0, len(records))
	for _, r := range records {
		info := operator.TemplateInfo{Name: r.Name, Version: r.Version, Changes: r.Audit.Len()}
		if n := len(r.Audit.Entries); n > 0 {
			info.Who = r.Audit.Entries[n-1].Who
			info.When = r.Audit.Entries[n-1].Time().UTC().Format(time.RFC3339)
		}
		out = append(out, info)
	}
	return out, nil
}

func (o *operators) records(ctx context.Context) ([]template.Record, error) {
	list, err := o.objects.List(ctx, template.Kind, "")
	if err != nil {
		return nil, err
	}
	out := make([]template.Record, 0, len(list.Objects))
	for _, object := range list.Objects {
		r, err := template.RecordOf(object)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// record reads a template as it is stored; the zero record where there is none.
func (o *operators) record(ctx context.Context, name string) (template.Record, error) {
	object, err := o.objects.Get(ctx, template.Kind, name)
	var missing *outside.NotFound
	if errors.As(err, &missing) {
		return template.Record{Name: name}, nil
	}
	if err != nil {
		return template.Record{Name: name}, err
	}
	return template.RecordOf(object)
}

func (o *operators) existing(ctx context.Context, name string) (template.Record, error) {
	r, err := o.record(ctx, name)
	if err == nil && r.Version == 0 {
		err = problem.New(http.StatusNotFound, verdict.NotRun, "no template is called %q", name)
	}
	return r, err
}

// Template implements operator.Backend.
func (o *operators) Template(ctx context.Context, name string) (operator.TemplateView, error) {
	r, err := o.existing(ctx, name)
	return operator.TemplateView{Name: r.Name, Version: r.Version, Deleted: r.Deleted, Template: r.Template}, err
}

// Change implements operator.Backend.
func (o *operators) Change(ctx context.Context, c template.Change) operator.ChangeResult {
	current, err := o.record(ctx, c.Name)
	if err != nil {
		return o.past.unread(c.Operation, err)
	}
	r := c.Plan(current, time.Now())
	if r.Outcome == template.Proceed {
		r = o.write(ctx, c, r.Write)
	}
	if r.Outcome == template.Accepted {
		o.daemon.configuration.accepted(c, r.Version)
	}
	o.log(c, r)
	return o.past.keep(c.Operation, changeResult(r))
}

// resolveRounds bounds the tries to learn what became of a write.
const resolveRounds = 8

// resolvePause is between them; a store that lost an answer may be slow.
const resolvePause = 100 * time.Millisecond

// write sends a change's write until it is known what became of it.
func (o *operators) write(ctx context.Context, c template.Change, w template.Write) template.Result {
	sent := false // some try may have taken effect
	for range resolveRounds {
		version, err := o.put(ctx, w)
		var conflict *outside.Conflict
		switch {
		case err == nil:
			return c.WriteSucceeded(version)
		case errors.As(err, &conflict):
		case outside.NoEffect(err) && !sent:
			return template.Result{Outcome: template.Refused, Reason: err.Error()}
		case !outside.NoEffect(err):
			sent = true
		}
		current, err := o.record(ctx, c.Name)
		if err == nil {
			if r := c.Resolve(w, current); r.Outcome != template.Proceed {
				return r
			}
		}
		select {
		case <-time.After(resolvePause):
		case <-ctx.Done():
		}
	}
	return template.Result{Outcome: template.Unknown, Reason: "the object API does not say what became of the change"}
}

func (o *operators) put(ctx context.Context, w template.Write) (uint64, error) {
	if w.IfVersion == 0 {
		object, err := o.objects.Create(ctx, template.Kind, w.Name, w.Value)
		return object.Version, err
	}
	object, err := o.objects.Update(ctx, template.Kind, w.Name, w.Value, w.IfVersion)
	return object.Version, err
}

func (o *operators) log(c template.Change, r template.Result) {
	o.daemon.configuration.log.WithField("template", c.Name).WithField("who", c.Who).
		WithField("version", r.Version).Infof("change %s", r.Outcome)
}

func changeResult(r template.Result) operator.ChangeResult {
	return operator.ChangeResult{
		Outcome:    r.Outcome,
		Version:    r.Version,
		Superseded: r.Superseded,
		Current:    r.Current,
		Diff:       r.Diff,
		Problems:   r.Problems,
		Reason:     r.Reason,
	}
}

// refusedChange is for a change of which nothing was written.
func refusedChange(err error) operator.ChangeResult {
	return operator.ChangeResult{Outcome: template.Refused, Reason: err.Error()}
}

// TemplateStatus implements operator.Backend.
func (o *operators) TemplateStatus(ctx context.Context, name string) (operator.TemplateStatus, error) {
	version, err := o.newest(ctx, name)
	if err != nil {
		return operator.TemplateStatus{}, err
	}
	peers := o.daemon.roster.view.Load().all
	views := make([]template.View, 0, len(peers))
	for _, p := range peers {
		views = append(views, template.View{Daemon: p.Daemon, Digest: o.digest(p), Reachable: p.Alive})
	}
	out := operator.TemplateStatus{Name: name, Version: version, InForce: true}
	for i, s := range o.daemon.configuration.status(name, version, views) {
		out.Daemons = append(out.Daemons, operator.DaemonStatus{Instance: peers[i].Instance, State: s.State, Newest: s.Newest})
		if s.State == template.PropagationBehind || s.State == template.PropagationUnproven {
			out.InForce = false
		}
	}
	return out, nil
}

// newest returns a template's stored version. While the store is away it is the
// version in force here: a daemon with a newer one, which spreads without the
// store, is then shown as unproven.
func (o *operators) newest(ctx context.Context, name string) (uint64, error) {
	r, err := o.existing(ctx, name)
	var p *problem.Problem
	if err == nil || errors.As(err, &p) {
		return r.Version, err
	}
	if version := o.daemon.configuration.snapshot.Load().Version(name); version > 0 {
		return version, nil
	}
	return 0, err
}

// digest returns a daemon's digest; this one's own is known at first hand.
func (o *operators) digest(p peerInfo) template.Digest {
	if p.Instance == o.daemon.settings.Instance {
		return o.daemon.configuration.snapshot.Load().Digest
	}
	return p.Digest
}

// Workspaces implements operator.Backend.
func (o *operators) Workspaces() []operator.WorkspaceStatus {
	s := o.daemon.configuration.snapshot.Load()
	var out []operator.WorkspaceStatus
	s.EachWorkspace(func(w *template.Workspace) { out = append(out, o.daemon.workspaceStatus(time.Now(), w)) })
	slices.SortFunc(out, func(a, b operator.WorkspaceStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// Endpoints implements operator.Backend.
func (o *operators) Endpoints() []operator.EndpointStatus {
	list := o.daemon.routing.current.Load().list
	out := make([]operator.EndpointStatus, 0, len(list))
	for _, e := range list {
		out = append(out, operator.EndpointStatus{Endpoint: e, Draining: o.daemon.drains.draining(e.ID)})
	}
	slices.SortFunc(out, func(a, b operator.EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Entries implements operator.Backend.
func (o *operators) Entries() []operator.EntryStatus {
	peers := o.daemon.roster.view.Load().all
	out := make([]operator.EntryStatus, 0, len(peers))
	for _, p := range peers {
		out = append(out, operator.EntryStatus{
			Instance:   p.Instance,
			Callers:    p.Callers,
			Peers:      p.Peers,
			DataCentre: p.DataCentre,
			State:      p.State,
			Templates:  o.digest(p).Newest,
		})
	}
	return out
}
