package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

func newStandin(a *app) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "standin --settings FILE",
		Short:   "Run stand-ins of the platform and the endpoints",
		Example: `  cyclamenbeam standin --settings standin.yaml`,
		Args:    cobra.NoArgs,
		RunE:    withExitStatus(func(cmd *cobra.Command, _ []string) error { return a.standin(cmd.Context(), path) }),
	}
	cmd.Flags().StringVar(&path, "settings", "", "the stand-ins' settings, YAML")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func (a *app) standin(ctx context.Context, path string) error {
	s, err := deployment.ReadStandin(path)
	if err != nil {
		return err
	}
	var t *template.Template
	if s.Template != "" {
		if t, _, err = deployment.ReadTemplate(s.Template); err != nil {
			return err
		}
	}
	announcer := deployment.NewAnnouncer(a.stdout)
	d, err := deployment.StartStandins(ctx, s, t, logging.For(logging.New(a.stderr, s.Log), logging.Standin), announcer)
	if err != nil {
		return err
	}
	announcer.Done()
	<-ctx.Done()
	d.Close()
	return nil
}
