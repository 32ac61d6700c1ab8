package deployment

import (
	"context"
	_ "embed"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// devTemplate is the closing template of the development deployment.
//
//go:embed template.yaml
var devTemplate []byte

// DevTemplate returns the text of the development deployment's template.
func DevTemplate() []byte { return devTemplate }

// ReadTemplate reads and checks a template's file; an empty path is the
// development deployment's own.
func ReadTemplate(path string) (*template.Template, []byte, error) {
	text := devTemplate
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, nil, settings.Error.Wrap(err)
		}
	}
	t, problems := template.Parse(text)
	if len(problems) > 0 {
		lines := make([]string, 0, len(problems))
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		return nil, nil, settings.Error.New("template:\n%s", strings.Join(lines, "\n"))
	}
	return t, text, nil
}

// seed stores a template unless the store has one of its name.
func seed(ctx context.Context, platformURL string, t *template.Template) error {
	clients, err := outside.New(outside.Options{Objects: platformURL, Budget: budget.Config{FleetSize: 1}})
	if err != nil {
		return err
	}
	defer clients.Close()
	change := template.Change{
		Name:      t.Name,
		Template:  t,
		Who:       devOperatorName,
		Why:       "first template of the deployment",
		Operation: uuid.Must(uuid.NewV7()).String(),
	}
	plan := change.Plan(template.Record{Name: t.Name}, time.Now())
	if plan.Outcome != template.Proceed {
		return settings.Error.New("template refused: %s", plan.Reason)
	}
	_, err = clients.Objects.Create(ctx, template.Kind, t.Name, plan.Write.Value)
	return err
}
