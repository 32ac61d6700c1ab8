package cli

import (
	"time"

	"github.com/spf13/cobra"
)

func newTemplate(a *app) *cobra.Command {
	f := &remoteFlags{}
	cmd := &cobra.Command{
		Use:   "template",
		Short: "Publish and follow closing templates",
		Example: `  cyclamenbeam template apply --file closing.yaml --why "month-end of November"
  cyclamenbeam template status harvest-closing --wait`,
	}
	f.add(cmd)
	return group(cmd, newTemplateApply(a, f), newTemplateDelete(a, f), newTemplateGet(a, f), newTemplateList(a, f), newTemplateHistory(a, f), newTemplateStatus(a, f))
}

func newTemplateList(a *app, f *remoteFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the templates",
		Example: `  cyclamenbeam template list --server https://10.0.1.5:9001 --authority ca.pem --token-file token`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			list, err := c.Templates(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"NAME", "VERSION", "CHANGES", "BY", "WHEN"}}
			for _, i := range list {
				t.add(i.Name, i.Version, i.Changes, i.Who, i.When)
			}
			return printListing(a.stdout, f.output, list, t)
		}),
	}
}

func newTemplateHistory(a *app, f *remoteFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "history NAME",
		Short:   "Show who changed a template, when and why",
		Example: `  cyclamenbeam template history harvest-closing --output yaml`,
		Args:    cobra.ExactArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			list, err := c.History(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printListing(a.stdout, f.output, list, auditTable(list))
		}),
	}
}

func newTemplateStatus(a *app, f *remoteFlags) *cobra.Command {
	var wait bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:     "status NAME",
		Short:   "Show which daemons have a template's stored version in force",
		Example: `  cyclamenbeam template status harvest-closing --wait`,
		Args:    cobra.ExactArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			return a.templateStatus(cmd, f, args[0], wait, timeout)
		}),
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until it is in force at every daemon that can be reached")
	cmd.Flags().DurationVar(&timeout, "timeout", time.Minute, "how long to wait")
	return cmd
}

// statusInterval is the time between two polls of --wait.
const statusInterval = 200 * time.Millisecond

// templateStatus prints the status of a template. With wait, it first polls until
// the stored version is in force everywhere, for at most timeout.
func (a *app) templateStatus(cmd *cobra.Command, f *remoteFlags, name string, wait bool, timeout time.Duration) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for {
		s, err := c.TemplateStatus(cmd.Context(), name)
		if err != nil {
			return err
		}
		if s.InForce || !wait || time.Now().After(deadline) {
			t := &table{header: []string{"INSTANCE", "STATE", "NEWEST"}}
			for _, d := range s.Daemons {
				t.add(d.Instance, d.State, d.Newest)
			}
			if err := printListing(a.stdout, f.output, s, t); err != nil {
				return err
			}
			if wait && !s.InForce {
				return Error.New("version %d is not in force everywhere after %s", s.Version, timeout)
			}
			return nil
		}
		select {
		case <-time.After(statusInterval):
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		}
	}
}
