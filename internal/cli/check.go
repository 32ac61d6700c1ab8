package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

func newCheck(a *app) *cobra.Command {
	var path, templatePath, standinPath string
	cmd := &cobra.Command{
		Use:   "check [--settings FILE] [--template FILE] [--standin FILE]",
		Short: "Check files and name each mistake with its place",
		Example: `  cyclamenbeam check --settings entry-1.yaml
  cyclamenbeam check --template closing.yaml`,
		Args: cobra.NoArgs,
		RunE: failing(func(*cobra.Command, []string) error { return a.check(path, templatePath, standinPath) }),
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings of a daemon")
	cmd.Flags().StringVar(&templatePath, "template", "", "a closing template")
	cmd.Flags().StringVar(&standinPath, "standin", "", "settings of the stand-ins")
	cmd.MarkFlagsOneRequired("settings", "template", "standin")
	return cmd
}

func (a *app) check(path, templatePath, standinPath string) error {
	if path != "" {
		if _, err := settings.Read(path); err != nil {
			return err
		}
		fmt.Fprintf(a.stdout, "%s: good settings\n", path)
	}
	if templatePath != "" {
		if _, _, err := deployment.ReadTemplate(templatePath); err != nil {
			return err
		}
		fmt.Fprintf(a.stdout, "%s: good template\n", templatePath)
	}
	if standinPath != "" {
		if _, err := deployment.ReadStandin(standinPath); err != nil {
			return err
		}
		fmt.Fprintf(a.stdout, "%s: good settings\n", standinPath)
	}
	return nil
}
