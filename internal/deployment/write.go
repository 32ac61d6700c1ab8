package deployment

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

// Names of the files that Write makes; entries are entry-1.yaml and so on.
const (
	standinFile  = "standin.yaml"
	templateFile = "template.yaml"
)

// Write writes the layout as settings of real processes into dir, with the
// template as a file of its own.
func (l *Layout) Write(dir string, template []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return settings.Error.Wrap(err)
	}
	l.Standin.Template = filepath.Join(dir, templateFile)
	if err := os.WriteFile(l.Standin.Template, template, 0o644); err != nil {
		return settings.Error.Wrap(err)
	}
	if err := writeYAML(filepath.Join(dir, standinFile), l.Standin); err != nil {
		return err
	}
	for i, e := range l.Entries {
		if err := writeYAML(filepath.Join(dir, fmt.Sprintf("entry-%d.yaml", i+1)), e); err != nil {
			return err
		}
	}
	return nil
}

func writeYAML(path string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return settings.Error.Wrap(err)
	}
	return settings.Error.Wrap(os.WriteFile(path, data, 0o600))
}
