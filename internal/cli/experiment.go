package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
	"github.com/cyclamenbeam/cyclamenbeam/internal/logging"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// experimentFlags are the flags of load experiment.
type experimentFlags struct {
	loadFlags
	deployment    deployment.Options
	policies      []string
	loads         []float64
	workspaces    int
	greedy        float64
	rateLimit     float64
	settle        time.Duration
	reclaimAt     time.Duration
	reclaimNotice time.Duration
	logLevel      string
}

func newLoadExperiment(a *app) *cobra.Command {
	f := &experimentFlags{deployment: deployment.Options{Speed: deployment.DefaultSpeed()}}
	cmd := &cobra.Command{
		Use:   "experiment --capacity N",
		Short: "Run the same work against routing policies at several loads",
		Long: `Run the same seeded work against each policy at each load, every time on a
fresh deployment in this process, and print one table. With --out, results and
plots are written as well.`,
		Example: `  cyclamenbeam load experiment --capacity 20 --policies cyclamenbeam,round-robin --loads 0.3,1,1.3`,
		Args:    cobra.NoArgs,
		RunE:    withExitStatus(func(cmd *cobra.Command, _ []string) error { return a.experiment(cmd.Context(), f) }),
	}
	f.add(cmd)
	flags := cmd.Flags()
	flags.StringSliceVar(&f.policies, "policies", settings.Policies, "routing policies")
	flags.Float64SliceVar(&f.loads, "loads", []float64{0.3, 0.6, 0.9, 1, 1.3}, "shares of the capacity")
	flags.IntVar(&f.workspaces, "workspaces", 5, "workspaces that send requests")
	flags.Float64Var(&f.greedy, "greedy", 1, "factor on the first workspace's share")
	flags.Float64Var(&f.rateLimit, "workspace-rate", 0, "requests a second that each workspace may send; 0 is no limit")
	flags.IntVar(&f.deployment.Entries, "daemons", 3, "daemons")
	flags.IntVar(&f.deployment.Engines, "engines", 6, "model engines")
	flags.IntVar(&f.deployment.Services, "services", 2, "replicas of the plain service")
	flags.DurationVar(&f.deployment.Speed.TokenInterval, "token-interval", f.deployment.Speed.TokenInterval, "time between tokens of an engine")
	flags.IntVar(&f.deployment.Speed.PrefillPerSecond, "prefill", f.deployment.Speed.PrefillPerSecond, "prompt tokens that an engine computes a second")
	flags.IntVar(&f.deployment.Speed.CacheBlocks, "cache-blocks", 1024, "blocks of 16 tokens in an engine's prefix cache")
	flags.DurationVar(&f.deployment.Speed.LoadLag, "load-lag", f.deployment.Speed.LoadLag, "age of engines' load reports")
	flags.Float64Var(&f.deployment.Speed.EventLoss, "event-loss", f.deployment.Speed.EventLoss, "share of cache events lost")
	flags.DurationVar(&f.reclaimAt, "reclaim-half-at", 0, "give notice to half of the engines at this time of each run; 0 is never")
	flags.DurationVar(&f.reclaimNotice, "notice", 5*time.Second, "length of that notice")
	flags.DurationVar(&f.settle, "settle", 3*time.Second, "time between the start of a deployment and its load")
	flags.StringVar(&f.logLevel, "log-level", "error", "of the deployments")
	_ = cmd.MarkFlagRequired("capacity")
	return cmd
}

func (a *app) experiment(ctx context.Context, f *experimentFlags) error {
	t, err := deployment.WithWorkspaces(f.workspaces, f.rateLimit)
	if err != nil {
		return err
	}
	for i := range f.workspaces {
		w := workload.Workspace{Name: deployment.WorkspaceName(i + 1), Weight: 1, Token: deployment.WorkspaceToken(i + 1)}
		if i == 0 {
			w.Factor = f.greedy
		}
		f.options.Workspaces = append(f.options.Workspaces, w)
	}
	var current *deployment.Dev // of the run in progress
	if f.reclaimAt > 0 {
		f.options.Faults = []load.Fault{{
			Name: "notice to half of the engines",
			At:   f.reclaimAt,
			Do:   func(context.Context) { current.Reclaim(f.reclaimHalf()) },
		}}
	}
	e := &load.Experiment{
		Policies: f.policies,
		Loads:    f.loads,
		Options:  f.options,
		Deploy: func(ctx context.Context, policy string) (load.Target, func(), error) {
			d, target, err := a.deploy(ctx, f, t, policy)
			current = d
			return target, func() { d.Close() }, err
		},
		Done: func(r *load.Result) { fmt.Fprintln(a.stderr, r.Name, "done") },
	}
	results, err := e.Run(ctx)
	if writeErr := a.writeExperiment(f, results); writeErr != nil && err == nil {
		err = writeErr
	}
	return err
}

// reclaimHalf returns a reclaim notice for every second engine.
func (f *experimentFlags) reclaimHalf() cloudapi.Reclaim {
	r := cloudapi.Reclaim{Millis: f.reclaimNotice.Milliseconds()}
	for i := 1; i <= f.deployment.Engines; i += 2 {
		r.Instances = append(r.Instances, fleet.InstanceID(fmt.Sprintf("engine-%d", i)))
	}
	return r
}

// deploy starts a deployment with a routing policy and waits for --settle.
func (a *app) deploy(ctx context.Context, f *experimentFlags, t *template.Template, policy string) (*deployment.Dev, load.Target, error) {
	o := f.deployment
	o.Policy = policy
	layout, err := deployment.Make(o)
	if err != nil {
		return nil, load.Target{}, err
	}
	log := settings.Log{Format: "text", Level: f.logLevel}
	target := load.Target{Platform: layout.Standin.Platform}
	for i := range layout.Entries {
		e := &layout.Entries[i]
		e.Log = log
		e.Control.StartSpread = devStartSpread
		target.Entries = append(target.Entries, e.Listen.Callers)
	}
	d, err := deployment.StartDev(ctx, layout, t, logging.New(a.stderr, log), deployment.NewAnnouncer(nopWriter{}))
	if err != nil {
		return nil, target, err
	}
	select {
	case <-time.After(f.settle):
	case <-ctx.Done():
	}
	return d, target, nil
}

// nopWriter discards the ready lines of deployments, which nothing reads in an
// experiment.
type nopWriter struct{}

func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }

// writeExperiment prints the tables, and writes results and plots into the
// directory of --out.
func (a *app) writeExperiment(f *experimentFlags, results []*load.Result) error {
	if len(results) == 0 {
		return nil
	}
	if err := load.ResultsTable(results).WriteMarkdown(a.stdout); err != nil {
		return Error.Wrap(err)
	}
	fmt.Fprintln(a.stdout)
	if err := load.WorkspacesTable(results).WriteMarkdown(a.stdout); err != nil {
		return Error.Wrap(err)
	}
	if f.out == "" {
		return nil
	}
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for _, r := range results {
		name := strings.NewReplacer(" ", "-", "%", "").Replace(r.Name) + ".json"
		if err := writeResult(filepath.Join(f.out, name), r); err != nil {
			return err
		}
	}
	return writePlots(f.out, results)
}
