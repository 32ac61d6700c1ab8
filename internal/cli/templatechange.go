package cli

import (
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// changeFlags are shared by the commands that change something.
type changeFlags struct {
	expected  int64
	why       string
	operation string
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.why, "why", "", "reason, for the audit trail")
	cmd.Flags().StringVar(&f.operation, "operation", "", "UUIDv7 of this change; give the one printed to ask again after an unknown outcome")
	_ = cmd.MarkFlagRequired("why")
}

// operationID returns the operation's id, a new one where --operation gave none.
func (f *changeFlags) operationID() string {
	if f.operation == "" {
		f.operation = uuid.Must(uuid.NewV7()).String()
	}
	return f.operation
}

func newTemplateApply(a *app, f *remoteFlags) *cobra.Command {
	var change changeFlags
	var path string
	cmd := &cobra.Command{
		Use:   "apply --file FILE",
		Short: "Create or amend a template",
		Long: `Create or amend a template, on condition that the stored version is the one
given by --expected. Without it the version is read first, which overwrites
what others changed since you made your file; with it, a change of theirs
refuses yours and the difference is shown.`,
		Example: `  cyclamenbeam template apply --file closing.yaml --expected 12 --why "more engines for the night"`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			return a.templateApply(cmd, f, &change, path)
		}),
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "the template, YAML or JSON")
	cmd.Flags().Int64Var(&change.expected, "expected", -1, "version that must be stored; 0: none; -1: whatever is stored now")
	change.add(cmd)
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (a *app) templateApply(cmd *cobra.Command, f *remoteFlags, change *changeFlags, path string) error {
	t, _, err := deployment.ReadTemplate(path)
	if err != nil {
		return err
	}
	c, err := f.client()
	if err != nil {
		return err
	}
	expected, err := change.expectedVersion(cmd, c, t.Name)
	if err != nil {
		return err
	}
	text, err := t.JSON()
	if err != nil {
		return err
	}
	r, err := c.Apply(cmd.Context(), t.Name, operator.Apply{
		Expected: expected, Template: json.RawMessage(text), Why: change.why, Operation: change.operationID(),
	})
	if err != nil {
		return err
	}
	return a.reportChange(f, r, change.operation)
}

// expectedVersion returns the version to expect: that of --expected, or else the
// one stored now, 0 if there is none.
func (f *changeFlags) expectedVersion(cmd *cobra.Command, c *operator.Client, name string) (uint64, error) {
	if f.expected >= 0 {
		return uint64(f.expected), nil
	}
	list, err := c.Templates(cmd.Context())
	if err != nil {
		return 0, err
	}
	for _, t := range list {
		if t.Name == name {
			return t.Version, nil
		}
	}
	return 0, nil
}

func newTemplateDelete(a *app, f *remoteFlags) *cobra.Command {
	var change changeFlags
	cmd := &cobra.Command{
		Use:     "delete NAME",
		Short:   "Delete a template",
		Example: `  cyclamenbeam template delete harvest-closing --expected 12 --why "the season is over"`,
		Args:    cobra.ExactArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			expected, err := change.expectedVersion(cmd, c, args[0])
			if err != nil {
				return err
			}
			r, err := c.Delete(cmd.Context(), args[0], operator.Apply{Expected: expected, Why: change.why, Operation: change.operationID()})
			if err != nil {
				return err
			}
			return a.reportChange(f, r, change.operation)
		}),
	}
	cmd.Flags().Int64Var(&change.expected, "expected", -1, "version that must be stored; -1: whatever is stored now")
	change.add(cmd)
	return cmd
}

func newTemplateGet(a *app, f *remoteFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "get NAME",
		Short:   "Print a template, ready to edit and apply",
		Example: `  cyclamenbeam template get harvest-closing > closing.yaml`,
		Args:    cobra.ExactArgs(1),
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			v, err := c.Template(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if v.Deleted || v.Template == nil {
				return Error.New("template %q was deleted by version %d", v.Name, v.Version)
			}
			if f.output == "json" {
				return printListing(a.stdout, f.output, v.Template, nil)
			}
			text, err := yaml.MarshalWithOptions(v.Template, yaml.UseJSONMarshaler())
			if err != nil {
				return Error.Wrap(err)
			}
			fmt.Fprintf(a.stdout, "# version %d\n%s", v.Version, text)
			return nil
		}),
	}
}

// reportChange prints the outcome of a change. Its error carries the exit status.
func (a *app) reportChange(f *remoteFlags, r operator.ChangeResult, operation string) error {
	if f.output != "table" {
		if err := printListing(a.stdout, f.output, r, nil); err != nil {
			return err
		}
	}
	switch r.Outcome {
	case template.Accepted, template.Unchanged:
		if f.output == "table" {
			fmt.Fprintf(a.stdout, "%s: version %d\n", r.Outcome, r.Version)
		}
		return nil
	case template.Refused:
		for _, p := range r.Problems {
			fmt.Fprintln(a.stderr, p)
		}
		for _, l := range r.Diff {
			fmt.Fprintln(a.stderr, l)
		}
		if r.Current == 0 {
			return Error.New("refused: %s", r.Reason)
		}
		return Error.New("refused: %s (stored version %d)", r.Reason, r.Current)
	default:
		return unknownOutcome(Error.New("outcome unknown: %s; ask again with --operation %s", r.Reason, operation))
	}
}
