package cli

import (
	"io"
	"os"
	"runtime"
	"slices"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenbeam/cyclamenbeam/internal/explain"
)

func newExplain(a *app) *cobra.Command {
	var q explain.Query
	var lost bool
	cmd := &cobra.Command{
		Use:   "explain [ID] [FILE...]",
		Short: "Show from daemons' logs what became of a request, and why",
		Long: `Read the JSON logs of one or several daemons, from files or from standard
input, and show in order of time what they say about a request, an endpoint or a
version of the configuration. For a request, what its daemon believed in the
seconds before each line stands indented above it. What log lines name as request
stands for a request that comes again under other ids: all its tries are shown.
The ID of a part of prompts, as callers send it, shows the crashes under it.
With --lost, count the
requests that failed, were refused or were late, by reason and route and by
reason and second. Exit status 1: nothing found.`,
		Example: `  cyclamenbeam explain 9c41d07be2a35f68 entry-1.log entry-2.log
  cyclamenbeam explain --endpoint i-7f3a91c2 entry-*.log
  cyclamenbeam explain --config 12 < all.log
  cyclamenbeam explain --lost entry-*.log`,
		RunE: withExitStatus(func(cmd *cobra.Command, args []string) error {
			if lost {
				return a.explainLost(cmd.InOrStdin(), args)
			}
			if q.Endpoint == "" && q.Config == 0 {
				if len(args) == 0 {
					return Error.New("name a request, or use --endpoint, --config or --lost")
				}
				q.ID, args = args[0], args[1:]
			}
			return a.explain(cmd.InOrStdin(), q, args)
		}),
	}
	cmd.Flags().StringVar(&q.Endpoint, "endpoint", "", "show what is said of an endpoint")
	cmd.Flags().Uint64Var(&q.Config, "config", 0, "show what is said of a version of the configuration")
	cmd.Flags().BoolVar(&lost, "lost", false, "count what was lost by reason, route and second")
	cmd.MarkFlagsMutuallyExclusive("endpoint", "config", "lost")
	return cmd
}

func (a *app) explainLost(stdin io.Reader, files []string) error {
	lines, err := readLogs(stdin, files)
	if err != nil {
		return err
	}
	n, err := explain.WriteTable(a.stdout, lines)
	if err == nil && n == 0 {
		return Error.New("none of %d log lines is of a request that lost anything", len(lines))
	}
	return err
}

func (a *app) explain(stdin io.Reader, q explain.Query, files []string) error {
	lines, err := readLogs(stdin, files)
	if err != nil {
		return err
	}
	n, err := explain.Write(a.stdout, lines, q)
	if err == nil && n == 0 {
		return Error.New("none of %d log lines is about that", len(lines))
	}
	return err
}

// readLogs reads the files, several at a time, or standard input if there are none.
func readLogs(stdin io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read("stdin", stdin)
	}
	read := make([][]explain.Line, len(files))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, name := range files {
		g.Go(func() (err error) {
			read[i], err = readLog(name)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(read...), nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close() // read only
	return explain.Read(name, f)
}
