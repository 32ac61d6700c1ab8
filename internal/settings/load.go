package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of mistakes in settings. Its text names line and column
// where the mistake has a place in the file.
var Error = errs.Class("settings")

// Read reads and checks the file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse decodes YAML over the defaults and checks the result. An unknown key
// is an error.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	if err := Decode(data, &s); err != nil {
		return Settings{}, err
	}
	s.complete()
	problems := s.check()
	return s, Locate(data, problems)
}

// Decode decodes strict YAML into v; an unknown key or a wrong type is an
// error with its line and column. An empty document leaves v as it is.
func Decode(data []byte, v any) error {
	err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(v)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return Error.New("%s", yaml.FormatError(err, false, true))
	}
	return nil
}

// complete fills what defaults to another setting's value.
func (s *Settings) complete() {
	if s.Advertise.Callers == "" {
		s.Advertise.Callers = s.Listen.Callers
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
}
