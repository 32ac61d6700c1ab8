package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version from the build information",
		Example: `  cyclamenbeam version`,
		Args:    cobra.NoArgs,
		RunE: withExitStatus(func(*cobra.Command, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return Error.New("the binary has no build information")
			}
			revision := ""
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = " " + s.Value
				}
			}
			fmt.Fprintf(a.stdout, "cyclamenbeam %s%s %s\n", info.Main.Version, revision, info.GoVersion)
			return nil
		}),
	}
}
