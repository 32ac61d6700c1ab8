package cli

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
	"github.com/cyclamenbeam/cyclamenbeam/internal/report"
)

func newReport(a *app) *cobra.Command {
	var out, title, samples string
	cmd := &cobra.Command{
		Use:   "report RESULT… --out FILE",
		Short: "Make an HTML page of load results and metrics",
		Example: `  cyclamenbeam report follow --metrics 127.0.0.1:9001 > samples.jsonl
  cyclamenbeam report out/*.json --samples samples.jsonl --out report.html`,
		Args: cobra.ArbitraryArgs,
		RunE: withExitStatus(func(_ *cobra.Command, args []string) error {
			in := report.Input{Title: title, Panels: report.DefaultPanels()}
			var err error
			if in.Results, err = readResults(args); err != nil {
				return err
			}
			if samples != "" {
				if in.Samples, err = readSamples(samples); err != nil {
					return err
				}
			}
			page, err := os.Create(out)
			if err != nil {
				return Error.Wrap(err)
			}
			if err := report.Write(page, in); err != nil {
				_ = page.Close()
				return Error.Wrap(err)
			}
			return Error.Wrap(page.Close())
		}),
	}
	cmd.Flags().StringVar(&out, "out", "report.html", "file to write")
	cmd.Flags().StringVar(&title, "title", "cyclamenbeam", "title of the page")
	cmd.Flags().StringVar(&samples, "samples", "", "metrics that 'report follow' wrote")
	cmd.AddCommand(newReportFollow(a))
	return cmd
}

func readSamples(path string) ([]report.Sample, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return report.ReadSamples(f)
}

func newReportFollow(a *app) *cobra.Command {
	var addresses []string
	var period time.Duration
	cmd := &cobra.Command{
		Use:     "follow --metrics ADDRESS,…",
		Short:   "Read daemons' metrics until interrupted, a JSON object a line",
		Example: `  cyclamenbeam report follow --metrics 127.0.0.1:9001,127.0.0.1:9004 > samples.jsonl`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			client := &http.Client{Transport: answerhead.NewTransport(nil)}
			err := report.Follow(cmd.Context(), a.stdout, client, addresses, period)
			if cmd.Context().Err() != nil {
				return nil
			}
			return err
		}),
	}
	cmd.Flags().StringSliceVar(&addresses, "metrics", nil, "addresses of daemons' callers' or operators' listeners")
	cmd.Flags().DurationVar(&period, "period", time.Second, "time between two readings")
	_ = cmd.MarkFlagRequired("metrics")
	return cmd
}
