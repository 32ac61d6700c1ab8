package workload

import (
	"embed"
	"io"
	"os"
	"path"
	"strings"

	"github.com/goccy/go-yaml"
)

// The built-in mixes.
const (
	TallerVivo = "taller-vivo"
	Magnolia   = "magnolia"
)

//go:embed mixes/*.yaml
var builtIn embed.FS

// Mix is the requests of one deployment.
type Mix struct {
	Name    string `yaml:"name" json:"name"`
	Model   string `yaml:"model" json:"model"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	// SystemTokens is the length of the instructions, with which every prompt of
	// the mix starts.
	SystemTokens int    `yaml:"systemTokens" json:"systemTokens"`
	Kinds        []Kind `yaml:"kinds" json:"kinds"`
}

// FindMix returns the built-in mix of a name. A name that contains a slash or
// ends in .yaml is the path of a YAML file to read instead.
func FindMix(name string) (*Mix, error) {
	if strings.ContainsRune(name, '/') || strings.HasSuffix(name, ".yaml") {
		f, err := os.Open(name)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = f.Close() }()
		return ReadMix(f)
	}
	f, err := builtIn.Open(path.Join("mixes", name+".yaml"))
	if err != nil {
		return nil, Error.New("no mix %q: use %s, %s or a YAML file", name, TallerVivo, Magnolia)
	}
	defer func() { _ = f.Close() }()
	return ReadMix(f)
}

// ReadMix reads a mix in YAML. An unknown key is an error.
func ReadMix(r io.Reader) (*Mix, error) {
	var m Mix
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&m); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return &m, nil
}

// Scaled returns a copy with the lengths of prompts and answers multiplied by by.
func (m *Mix) Scaled(by float64) *Mix {
	c := *m
	c.SystemTokens = scaleTokens(m.SystemTokens, by)
	c.Kinds = make([]Kind, len(m.Kinds))
	for i, k := range m.Kinds {
		k.SubjectTokens = k.SubjectTokens.scaled(by)
		k.QuestionTokens = k.QuestionTokens.scaled(by)
		k.AnswerTokens = k.AnswerTokens.scaled(by)
		c.Kinds[i] = k
	}
	return &c
}

func (m *Mix) check() error {
	if m.Name == "" || len(m.Kinds) == 0 {
		return Error.New("a mix needs a name and kinds")
	}
	for i := range m.Kinds {
		if err := m.Kinds[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// UseService makes all calls of plain services go to the named one; an empty name
// changes nothing.
func (m *Mix) UseService(name string) {
	if name == "" {
		return
	}
	for i := range m.Kinds {
		if call := m.Kinds[i].Call; call != nil {
			c := *call
			c.Service = name
			m.Kinds[i].Call = &c
		}
	}
}
