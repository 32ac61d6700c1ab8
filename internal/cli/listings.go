package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
)

func newEntries(a *app) *cobra.Command {
	f := &remoteFlags{}
	cmd := &cobra.Command{
		Use:     "entries",
		Short:   "List the daemons as membership knows them",
		Example: `  cyclamenbeam entries --server http://127.0.0.1:9001`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			list, err := c.Entries(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"INSTANCE", "STATE", "DATA CENTRE", "CALLERS", "PEERS", "TEMPLATES"}}
			for _, e := range list {
				t.add(e.Instance, e.State, e.DataCentre, e.Callers, e.Peers, e.Templates)
			}
			return printListing(a.stdout, f.output, list, t)
		}),
	}
	f.add(cmd)
	return cmd
}

func newAudit(a *app) *cobra.Command {
	f := &remoteFlags{}
	cmd := &cobra.Command{
		Use:     "audit",
		Short:   "Show every change: who, when, what and why",
		Example: `  cyclamenbeam audit --output json`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			list, err := c.Audit(cmd.Context())
			if err != nil {
				return err
			}
			return printListing(a.stdout, f.output, list, auditTable(list))
		}),
	}
	f.add(cmd)
	return cmd
}

func auditTable(list []operator.AuditEntry) *table {
	t := &table{header: []string{"WHEN", "WHO", "ACTION", "OBJECT", "FROM", "TO", "WHY"}}
	for _, e := range list {
		to := fmt.Sprint(e.Version)
		if e.Version == 0 {
			to = "?"
		}
		t.add(e.Entry.Time().UTC().Format(time.RFC3339), e.Entry.Who, e.Entry.Action, e.Object, e.Entry.From, to, e.Entry.Why)
	}
	return t
}

func newEndpoint(a *app) *cobra.Command {
	f := &remoteFlags{}
	cmd := &cobra.Command{
		Use:     "endpoint",
		Short:   "List endpoints and drain them",
		Example: `  cyclamenbeam endpoint drain engine-2 --why "new accelerator driver"`,
	}
	f.add(cmd)
	return group(cmd, newEndpointList(a, f), newEndpointDrain(a, f))
}

func newEndpointList(a *app, f *remoteFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the endpoints",
		Example: `  cyclamenbeam endpoint list --output json`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			list, err := c.Endpoints(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"ID", "KIND", "STATE", "DRAINING", "DATA CENTRE", "ADDRESS", "PRICE"}}
			for _, e := range list {
				t.add(e.ID, e.Kind, e.State, e.Draining, e.DataCentre, e.Address, fmt.Sprintf("%.4g", e.HourPrice))
			}
			return printListing(a.stdout, f.output, list, t)
		}),
	}
}

func newEndpointDrain(a *app, f *remoteFlags) *cobra.Command {
	var change changeFlags
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain ID",
		Short: "Give an endpoint no new work",
		Example: `  cyclamenbeam endpoint drain engine-2 --why "new accelerator driver"
  cyclamenbeam endpoint drain engine-2 --undo --why "driver is in"`,
		Args: cobra.ExactArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			r, err := c.Drain(cmd.Context(), args[0], operator.Drain{Drain: !undo, Why: change.why, Operation: change.operationID()})
			if err != nil {
				return err
			}
			return a.reportChange(f, r, change.operation)
		}),
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "give it work again")
	change.add(cmd)
	return cmd
}

func newWorkspace(a *app) *cobra.Command {
	f := &remoteFlags{}
	cmd := &cobra.Command{
		Use:     "workspace",
		Short:   "Show the state that workspaces have reached",
		Example: `  cyclamenbeam workspace status taller-vivo --watch`,
	}
	f.add(cmd)
	list := &cobra.Command{
		Use:     "list",
		Short:   "List the workspaces",
		Example: `  cyclamenbeam workspace list --output yaml`,
		Args:    cobra.NoArgs,
		RunE:    withExitStatus(func(cmd *cobra.Command, _ []string) error { return a.listWorkspaces(cmd.Context(), f, "") }),
	}
	var watch bool
	status := &cobra.Command{
		Use:     "status [WORKSPACE]",
		Short:   "Show a workspace's state and the reason",
		Example: `  cyclamenbeam workspace status taller-vivo --watch`,
		Args:    cobra.MaximumNArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			return a.workspaceStatus(cmd.Context(), f, name, watch)
		}),
	}
	status.Flags().BoolVar(&watch, "watch", false, "print each change until interrupted")
	return group(cmd, list, status)
}

// listWorkspaces prints the named workspace, or all if name is empty.
func (a *app) listWorkspaces(ctx context.Context, f *remoteFlags, name string) error {
	list, err := a.fetchWorkspaces(ctx, f, name)
	if err != nil {
		return err
	}
	return a.printWorkspaces(f, list)
}

// fetchWorkspaces returns the named workspace, or all if name is empty.
func (a *app) fetchWorkspaces(ctx context.Context, f *remoteFlags, name string) ([]operator.WorkspaceStatus, error) {
	c, err := f.client()
	if err != nil {
		return nil, err
	}
	all, err := c.Workspaces(ctx)
	if err != nil || name == "" {
		return all, err
	}
	for _, w := range all {
		if string(w.Workspace) == name {
			return []operator.WorkspaceStatus{w}, nil
		}
	}
	return nil, Error.New("no workspace is called %q", name)
}

func (a *app) printWorkspaces(f *remoteFlags, list []operator.WorkspaceStatus) error {
	t := &table{header: []string{"WORKSPACE", "STATE", "CLOSING", "REASON"}}
	for _, w := range list {
		t.add(w.Workspace, w.State, w.Closing, w.Reason)
	}
	return printListing(a.stdout, f.output, list, t)
}

// watchInterval is the time between two polls of --watch.
const watchInterval = time.Second

// workspaceStatus prints the state once or, with watch, at each change until ctx
// ends.
func (a *app) workspaceStatus(ctx context.Context, f *remoteFlags, name string, watch bool) error {
	last := ""
	for {
		list, err := a.fetchWorkspaces(ctx, f, name)
		if err != nil && (!watch || ctx.Err() == nil) {
			return err
		}
		if now := fmt.Sprint(list); now != last {
			last = now
			if err := a.printWorkspaces(f, list); err != nil {
				return err
			}
		}
		if !watch {
			return nil
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return nil
		}
	}
}
