package template

import (
	"strings"
)

// Scalar is a single value as it stands in a template's text: a number, a
// duration, a time or a word, in which ${name} stands for a parameter.
type Scalar string

// expand replaces the parameters in s. It returns the first name that has no
// value, or an unclosed reference as it stands.
func (s Scalar) expand(values func(name string) (string, bool)) (text, missing string) {
	rest := string(s)
	if !strings.Contains(rest, "${") {
		return rest, ""
	}
	var b strings.Builder
	for {
		before, after, found := strings.Cut(rest, "${")
		b.WriteString(before)
		if !found {
			return b.String(), ""
		}
		name, remainder, closed := strings.Cut(after, "}")
		if !closed {
			return "", "${" + after
		}
		value, ok := values(name)
		if !ok {
			return "", name
		}
		b.WriteString(value)
		rest = remainder
	}
}

// parametrised reports whether s refers to a parameter.
func (s Scalar) parametrised() bool { return strings.Contains(string(s), "${") }
