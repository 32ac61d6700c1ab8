package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load"
	"github.com/cyclamenbeam/cyclamenbeam/internal/load/workload"
)

// callerTokenVariable names the environment variable with a caller's token.
const callerTokenVariable = "CYCLAMENBEAM_CALLER_TOKEN"

func newLoad(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Load a deployment and compare results",
		Long: `Load a deployment with seeded open-loop arrivals of the users' mixes, check
every answer, and write the result as JSON. Latency counts from the moment at
which a request was due, so that a slow deployment can't slow its own load.`,
		Example: `  cyclamenbeam load run --entries 127.0.0.1:23007 --rate 20 --out result.json
  cyclamenbeam load compare before.json after.json`,
	}
	return group(cmd, newLoadRun(a), newLoadExperiment(a), newLoadCompare(a))
}

// loadFlags are the flags of commands that send load.
type loadFlags struct {
	options load.Options
	out     string
}

func (f *loadFlags) add(cmd *cobra.Command) {
	o := &f.options
	flags := cmd.Flags()
	flags.StringVar(&o.Mix, "mix", workload.TallerVivo, "taller-vivo, magnolia, or a YAML file")
	flags.StringVar(&o.Model, "model", "harvester-diagnosis", "model that the mix's completions ask for")
	flags.StringVar(&o.Adapter, "adapter", "cane", "its adapter")
	flags.StringVar(&o.Service, "service", "parts", "plain service that the mix's calls go to")
	flags.Float64Var(&o.Capacity, "capacity", 0, "requests a second that the deployment is said to carry")
	flags.DurationVar(&o.Duration, "duration", 30*time.Second, "length of the schedule")
	flags.DurationVar(&o.Drain, "drain", 30*time.Second, "longest wait for answers after it")
	flags.IntVar(&o.Requests, "requests", 100_000, "most requests")
	flags.IntVar(&o.InFlight, "in-flight", 4096, "most requests at once")
	flags.Uint64Var(&o.Seed, "seed", 1, "of arrivals, prompts and lengths")
	flags.Float64Var(&o.TargetScale, "target-scale", 1, "factor on the latency targets, 1.5 s and 34 ms, for faster stand-ins")
	flags.Float64Var(&o.TokenScale, "token-scale", 1, "factor on the lengths of prompts and answers")
	flags.StringVar(&f.out, "out", "", "write results into this file (run) or directory (experiment)")
}

func newLoadRun(a *app) *cobra.Command {
	f := &loadFlags{}
	var workspace string
	cmd := &cobra.Command{
		Use:     "run --entries ADDRESS,… --rate N",
		Short:   "Load a running deployment",
		Example: `  cyclamenbeam load run --entries 127.0.0.1:23007 --platform 127.0.0.1:23000 --rate 20 --out result.json`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			token := os.Getenv(callerTokenVariable)
			if token == "" {
				return Error.New("no caller's token: set %s", callerTokenVariable)
			}
			f.options.Workspaces = []workload.Workspace{{Name: workspace, Weight: 1, Token: token}}
			r, err := load.Run(cmd.Context(), f.options)
			if err != nil {
				return err
			}
			return a.reportRun(f, r)
		}),
	}
	f.add(cmd)
	flags := cmd.Flags()
	flags.StringSliceVar(&f.options.Target.Entries, "entries", nil, "entry addresses to ask first")
	flags.StringVar(&f.options.Target.Platform, "platform", "", "address of the instance list, for prices and counters")
	flags.Float64Var(&f.options.Rate, "rate", 0, "requests a second")
	flags.StringVar(&workspace, "workspace", "workspace", "name of the workspace in the result")
	_ = cmd.MarkFlagRequired("entries")
	_ = cmd.MarkFlagRequired("rate")
	return cmd
}

// reportRun prints a result and, with --out, writes it to a file. It returns an
// error if one of the result's checks failed.
func (a *app) reportRun(f *loadFlags, r *load.Result) error {
	if err := load.ResultsTable([]*load.Result{r}).WriteMarkdown(a.stdout); err != nil {
		return Error.Wrap(err)
	}
	if f.out != "" {
		if err := writeResult(f.out, r); err != nil {
			return err
		}
	}
	if n := r.Checks.Violations(); n > 0 {
		return Error.New("%d broken promises; see the checks in the result", n)
	}
	return nil
}

func writeResult(path string, r *load.Result) error {
	out, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := r.Write(out); err != nil {
		_ = out.Close()
		return Error.Wrap(err)
	}
	return Error.Wrap(out.Close())
}

func readResults(paths []string) ([]*load.Result, error) {
	var out []*load.Result
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		r, err := load.ReadResult(file)
		_ = file.Close()
		if err != nil {
			return nil, Error.New("%s: %w", path, err)
		}
		out = append(out, r)
	}
	return out, nil
}

func newLoadCompare(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "compare RESULT RESULT…",
		Short:   "Compare results with the first one",
		Example: `  cyclamenbeam load compare before.json after.json`,
		Args:    cobra.MinimumNArgs(2),
		RunE: withExitStatus(func(_ *cobra.Command, args []string) error {
			results, err := readResults(args)
			if err != nil {
				return err
			}
			c, err := load.Compare(results...)
			if err != nil {
				return err
			}
			for _, w := range c.Warnings {
				fmt.Fprintln(a.stderr, "warning:", w)
			}
			return Error.Wrap(c.WriteMarkdown(a.stdout))
		}),
	}
}

// writePlots writes the plots of an experiment into a directory, as SVG files.
func writePlots(dir string, results []*load.Result) error {
	charts := map[string]func(*os.File) error{
		"latency.svg":    func(f *os.File) error { return load.PlotLatency(f, results) },
		"goodput.svg":    func(f *os.File) error { return load.PlotGoodput(f, results) },
		"cost.svg":       func(f *os.File) error { return load.PlotCost(f, results) },
		"recomputed.svg": func(f *os.File) error { return load.PlotRecomputed(f, results) },
	}
	for name, write := range charts {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return Error.Wrap(err)
		}
		if err := write(f); err != nil {
			_ = f.Close()
			return Error.Wrap(err)
		}
		if err := f.Close(); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
