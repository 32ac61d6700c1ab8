package template

import (
	"encoding/json"

	"github.com/goccy/go-yaml"
)

// Template is a closing template as an operator writes it. A Scalar may hold
// ${name} for a parameter, which each workspace resolves by its own value or
// by the template's.
type Template struct {
	Name       string            `json:"name"`
	Parameters map[string]string `json:"parameters,omitempty"` // defaults, by name
	Models     []ModelSpec       `json:"models,omitempty"`
	Services   []ServiceSpec     `json:"services,omitempty"`
	Closing    ClosingSpec       `json:"closing"`
	Weights    WeightsSpec       `json:"weights,omitzero"`
	Defaults   DefaultsSpec      `json:"defaults,omitzero"` // of all workspaces
	Workspaces []WorkspaceSpec   `json:"workspaces"`

	positions map[string]position // of fields, by path; only after Parse
}

// JSON returns the form for storage: the fields in a fixed order.
func (t *Template) JSON() ([]byte, error) {
	out, err := json.Marshal(t)
	return out, Error.Wrap(err)
}

// YAML returns the form for operators; Parse reads it back.
func (t *Template) YAML() ([]byte, error) {
	out, err := yaml.Marshal(t)
	return out, Error.Wrap(err)
}

// FromJSON reads the form for storage. Unlike Parse it passes over keys it
// doesn't know: a daemon of an older release must go on serving what a newer
// one wrote.
func FromJSON(value []byte) (*Template, error) {
	t := new(Template)
	if err := json.Unmarshal(value, t); err != nil {
		return nil, Error.Wrap(err)
	}
	return t, nil
}
