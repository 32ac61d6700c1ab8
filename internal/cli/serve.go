package cli

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/daemon"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/node"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

func newServe(a *app) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the daemon of an entry instance",
		Example: `  cyclamenbeam serve --settings entry-1.yaml`,
		Args:    cobra.NoArgs,
		RunE:    withExitStatus(func(cmd *cobra.Command, _ []string) error { return a.serve(cmd.Context(), path) }),
	}
	cmd.Flags().StringVar(&path, "settings", "", "the daemon's settings, YAML")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs the daemon of a settings file. Settings that name the platform's
// store are those of an entry on the users' platform; see serveNode.
func (a *app) serve(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if node.Recognise(text) {
		return a.serveNode(ctx, path, text)
	}
	s, err := settings.Read(path)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, logging.New(a.stderr, s.Log))
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	announcer := deployment.NewAnnouncer(a.stdout)
	announcer.Ready(deployment.RoleEntry, s.Listen.Callers)
	announcer.Ready(deployment.RoleOperator, s.Listen.Operators)
	if d.Ready(ctx) == nil {
		announcer.Done()
	}
	timeout := s.Limits.RequestTimeout
	select {
	case <-ctx.Done():
	case deadline := <-d.Noticed():
		timeout = time.Until(deadline)
	}
	return a.shutDown(d.Leave, timeout)
}
