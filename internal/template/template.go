package template

import (
	"encoding/json"

	"github.com/goccy/go-yaml"
)

// Template is a closing template as an operator writes it. A Scalar may contain
// ${name}, a parameter whose value is the workspace's or else the template's.
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

// JSON returns the encoding for the store, with the fields in a fixed order.
func (t *Template) JSON() ([]byte, error) {
	out, err := json.Marshal(t)
	return out, Error.Wrap(err)
}

// YAML returns the encoding for operators; Parse decodes it.
func (t *Template) YAML() ([]byte, error) {
	out, err := yaml.Marshal(t)
	return out, Error.Wrap(err)
}

// FromJSON decodes the encoding for the store. Unlike Parse it ignores unknown
// keys, because a daemon of an older release must serve templates that a newer
// one wrote.
func FromJSON(value []byte) (*Template, error) {
	t := new(Template)
	if err := json.Unmarshal(value, t); err != nil {
		return nil, Error.Wrap(err)
	}
	return t, nil
}
