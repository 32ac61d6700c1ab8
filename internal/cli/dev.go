package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// devFlags are the flags of dev.
type devFlags struct {
	options deployment.Options
	write   string
	log     settings.Log
}

// devEntriesMaxAge is how long callers of a development deployment may cache the
// list of entries. It is short so that the deployment stops quickly.
const devEntriesMaxAge = time.Second

// devStartSpread is the time over which daemons that start together spread their
// first reads of the object API. It is short because a few
// daemons don't overload it.
const devStartSpread = 100 * time.Millisecond

func newDev(a *app) *cobra.Command {
	f := devFlags{options: deployment.Options{Speed: deployment.DefaultSpeed()}}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small deployment on loopback",
		Long: `Run stand-ins of the platform, of engines and of a plain service in four
data centres, and a few daemons, in one process on loopback. A JSON object a
line on stdout says what listens where; {"role":"ready"} comes last.`,
		Example: `  cyclamenbeam dev
  cyclamenbeam dev --entries 9 --engines 18 --port 9000
  cyclamenbeam dev --write ./deployment`,
		Args: cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error { return a.dev(cmd.Context(), &f) }),
	}
	flags := cmd.Flags()
	flags.IntVar(&f.options.Entries, "entries", 3, "daemons")
	flags.IntVar(&f.options.Engines, "engines", 4, "model engines")
	flags.IntVar(&f.options.Services, "services", 2, "replicas of the plain service")
	flags.IntVar(&f.options.Port, "port", 0, "first port; 0 lets the kernel choose")
	flags.StringVar(&f.options.Template, "template", "", "closing template to load in place of the built-in one")
	flags.DurationVar(&f.options.Speed.TokenInterval, "token-interval", f.options.Speed.TokenInterval, "time between tokens of an engine")
	flags.IntVar(&f.options.Speed.PrefillPerSecond, "prefill", f.options.Speed.PrefillPerSecond, "prompt tokens that an engine computes a second")
	flags.IntVar(&f.options.Speed.CacheBlocks, "cache-blocks", f.options.Speed.CacheBlocks, "blocks of 16 tokens in an engine's prefix cache")
	flags.DurationVar(&f.options.Speed.LoadLag, "load-lag", f.options.Speed.LoadLag, "age of engines' load reports")
	flags.Float64Var(&f.options.Speed.EventLoss, "event-loss", f.options.Speed.EventLoss, "share of cache events lost")
	flags.StringVar(&f.options.Policy, "policy", "", "routing policy of the daemons; empty is the default")
	flags.StringVar(&f.write, "write", "", "write the deployment as settings of real processes into this directory, and exit")
	flags.StringVar(&f.log.Level, "log-level", "warn", "debug, info, warn or error")
	flags.StringVar(&f.log.Format, "log-format", "text", "text or json")
	return cmd
}

func (a *app) dev(ctx context.Context, f *devFlags) error {
	t, text, err := deployment.ReadTemplate(f.options.Template)
	if err != nil {
		return err
	}
	layout, err := deployment.Make(f.options)
	if err != nil {
		return err
	}
	for i := range layout.Entries {
		e := &layout.Entries[i]
		e.Log = f.log
		e.Entries.MaxAge = devEntriesMaxAge
		e.Control.StartSpread = devStartSpread
	}
	if f.write != "" {
		return layout.Write(f.write, text)
	}
	announcer := deployment.NewAnnouncer(a.stdout)
	d, err := deployment.StartDev(ctx, layout, t, logging.New(a.stderr, f.log), announcer)
	if err != nil {
		return err
	}
	announcer.Done()
	<-ctx.Done()
	return a.shutDown(d.Leave, layout.Entries[0].Limits.RequestTimeout)
}

// shutDown shuts down a daemon or a deployment, which may take until its requests
// have ended, at most timeout.
func (a *app) shutDown(leave func(context.Context) error, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return leave(ctx)
}
