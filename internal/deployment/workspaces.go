package deployment

import (
	"fmt"
	"strconv"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// WorkspaceToken returns the token of the n-th workspace, from 1, of a
// deployment for experiments.
func WorkspaceToken(n int) string { return fmt.Sprintf("load-token-%d", n) }

// WorkspaceName returns the name of the n-th workspace, from 1.
func WorkspaceName(n int) string { return fmt.Sprintf("workspace-%d", n) }

// WithWorkspaces returns the built-in template with n equal workspaces in
// place of its own, for experiments. A rate above 0 limits each, in requests a
// second.
func WithWorkspaces(n int, rate float64) (*template.Template, error) {
	t, _, err := ReadTemplate("")
	if err != nil {
		return nil, err
	}
	if rate > 0 {
		limit := strconv.FormatFloat(rate, 'f', -1, 64)
		t.Defaults.Limits.RequestsPerSecond = template.Scalar(limit)
		t.Defaults.Limits.Burst = template.Scalar(limit)
	}
	t.Workspaces = nil
	for i := range n {
		t.Workspaces = append(t.Workspaces, template.WorkspaceSpec{
			Name:   fleet.WorkspaceID(WorkspaceName(i + 1)),
			Tokens: []template.TokenSpec{{SHA256: HashToken(WorkspaceToken(i + 1))}},
		})
	}
	return t, nil
}
