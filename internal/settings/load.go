package settings

import (
	"errors"
	"os"
	"reflect"

	"github.com/zeebo/errs"
)

// Error is the class of mistakes in settings; its cause is a *Mistakes, which
// names the line and column of each.
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

// InFile names the file in an error of this package.
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
		s.complete()
		return s.check()
	})
	return s, err
}

// Decode decodes strict YAML into v, a pointer to a struct with yaml tags: an
// unknown key or a wrong type is an error with its line and column. What the
// document says nothing of is left as it is.
func Decode(data []byte, v any) error {
	return DecodeChecked(data, v, func() []Mistake { return nil })
}

// DecodeChecked decodes like Decode, then asks check for the mistakes of what
// was decoded, and returns all mistakes at once.
func DecodeChecked(data []byte, v any, check func() []Mistake) error {
	root, fault := document(data)
	if fault != nil {
		return located([]Mistake{*fault}, nil)
	}
	b := &binder{}
	b.bind(root, reflect.ValueOf(v).Elem(), "")
	return located(append(b.mistakes, unrelated(check(), b.mistakes)...), placesOf(root))
}

// Locate turns mistakes in a file that could be decoded into one error, with
// line and column. A key that is missing has the place of what encloses it.
func Locate(data []byte, mistakes []Mistake) error {
	root, fault := document(data)
	if fault != nil {
		return located([]Mistake{*fault}, nil)
	}
	return located(mistakes, placesOf(root))
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
