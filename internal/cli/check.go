package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/certs"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/node"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// checkFlags are the flags of check: the files to check, by kind.
type checkFlags struct {
	settings  []string
	templates []string
	standins  []string
}

func newCheck(a *app) *cobra.Command {
	var f checkFlags
	cmd := &cobra.Command{
		Use:   "check [--settings FILE] [--template FILE] [--standin FILE]",
		Short: "Check files and name each mistake with its place",
		Long: `Check files and name each mistake as file:line:column: key: mistake. A key that
is missing has the place of what encloses it. The certificates that settings
name are read as well.`,
		Example: `  cyclamenbeam check --settings entry-1.yaml --settings entry-2.yaml
  cyclamenbeam check --template closing.yaml`,
		Args: cobra.NoArgs,
		RunE: withExitStatus(func(*cobra.Command, []string) error { return a.check(&f) }),
	}
	cmd.Flags().StringArrayVar(&f.settings, "settings", nil, "settings of a daemon; may be repeated")
	cmd.Flags().StringArrayVar(&f.templates, "template", nil, "a closing template; may be repeated")
	cmd.Flags().StringArrayVar(&f.standins, "standin", nil, "settings of the stand-ins; may be repeated")
	cmd.MarkFlagsOneRequired("settings", "template", "standin")
	return cmd
}

// check checks every file, even after one with mistakes.
func (a *app) check(f *checkFlags) error {
	faulty := 0
	checkAll := func(paths []string, kind string, check func(path string) []string) {
		for _, path := range paths {
			lines := check(path)
			if len(lines) == 0 {
				fmt.Fprintf(a.stdout, "%s: good %s\n", path, kind)
				continue
			}
			faulty++
			for _, line := range lines {
				fmt.Fprintln(a.stderr, line)
			}
		}
	}
	checkAll(f.settings, "settings", checkSettings)
	checkAll(f.templates, "template", checkTemplate)
	checkAll(f.standins, "settings of stand-ins", checkStandin)
	if n := len(f.settings) + len(f.templates) + len(f.standins); faulty > 0 {
		return Error.New("%d of %d files can't be used", faulty, n)
	}
	return nil
}

func checkSettings(path string) []string {
	if text, err := os.ReadFile(path); err == nil && node.Recognise(text) {
		_, err := node.ParseSettings(text)
		return mistakeLines(path, err)
	}
	s, err := settings.Read(path)
	if err != nil {
		return mistakeLines(path, err)
	}
	var mistakes []settings.Mistake
	open := func(key string, f certs.Files) {
		if f.Certificate == "" {
			return
		}
		if _, err := certs.Open(f); err != nil {
			mistakes = append(mistakes, settings.Mistake{Path: key, Message: err.Error()})
		}
	}
	open("tls.callers", certs.Files{Certificate: s.TLS.Callers.Certificate, Key: s.TLS.Callers.Key})
	open("tls.operators", certs.Files{Certificate: s.TLS.Operators.Certificate, Key: s.TLS.Operators.Key})
	open("tls.peers", certs.Files{Certificate: s.TLS.Peers.Certificate, Key: s.TLS.Peers.Key, Authority: s.TLS.Peers.Authority})
	data, err := os.ReadFile(path)
	if err == nil {
		err = settings.InFile(path, settings.Locate(data, mistakes))
	}
	return mistakeLines(path, err)
}

func checkStandin(path string) []string {
	_, err := deployment.ReadStandin(path)
	return mistakeLines(path, settings.InFile(path, err))
}

func checkTemplate(path string) []string {
	text, err := os.ReadFile(path)
	if err != nil {
		return mistakeLines(path, err)
	}
	_, problems := template.Parse(text)
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		sep := ": "
		if p.Line > 0 {
			sep = ":"
		}
		lines = append(lines, path+sep+p.String())
	}
	return lines
}

// mistakeLines returns one line for each mistake in err, none if err is nil.
func mistakeLines(path string, err error) []string {
	var m *settings.Mistakes
	var file *os.PathError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &m):
		return m.Lines()
	case errors.As(err, &file):
		return []string{path + ": " + file.Err.Error()}
	default:
		return []string{path + ": " + err.Error()}
	}
}
