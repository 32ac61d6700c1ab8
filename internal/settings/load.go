package settings

import (
	"errors"
	"os"
	"reflect"

	"github.com/zeebo/errs"
)

// Error is the class of errors made by this package. Mistakes in settings have a
// *Mistakes as their cause.
var Error = errs.Class("settings")

// Read reads and checks the file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	s, err := Parse(data)
	return s, InFile(path, err)
}

// InFile sets the file's name in an error that wraps a *Mistakes.
func InFile(path string, err error) error {
	var m *Mistakes
	if errors.As(err, &m) {
		m.File = path
	}
	return err
}

// Parse decodes YAML over the defaults and checks the result. An unknown key
// is an error.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	err := DecodeChecked(data, &s, func() []Mistake {
		s.setDerivedDefaults()
		return s.check()
	})
	return s, err
}

// Decode decodes strict YAML into v, a pointer to a struct with yaml tags: an
// unknown key or a wrong type is an error with its line and column. Fields that
// the document doesn't set are left unchanged.
func Decode(data []byte, v any) error {
	return DecodeChecked(data, v, func() []Mistake { return nil })
}

// DecodeChecked decodes like Decode, then calls check for mistakes in the decoded
// values, and returns the mistakes of both as one error.
func DecodeChecked(data []byte, v any, check func() []Mistake) error {
	root, mistake := document(data)
	if mistake != nil {
		return withPositions([]Mistake{*mistake}, nil)
	}
	b := &binder{}
	b.bind(root, reflect.ValueOf(v).Elem(), "")
	return withPositions(append(b.mistakes, excludeRelated(check(), b.mistakes)...), positionsOf(root))
}

// Locate returns mistakes in a file as one error, with lines and columns. A
// missing key has the position of the mapping that should contain it.
func Locate(data []byte, mistakes []Mistake) error {
	root, mistake := document(data)
	if mistake != nil {
		return withPositions([]Mistake{*mistake}, nil)
	}
	return withPositions(mistakes, positionsOf(root))
}

// setDerivedDefaults sets the settings whose default is another setting's value.
func (s *Settings) setDerivedDefaults() {
	if s.Advertise.Callers == "" {
		s.Advertise.Callers = s.Listen.Callers
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
}
