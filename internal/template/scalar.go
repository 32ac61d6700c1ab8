package template

import (
	"strings"
)

// Scalar is a single value as written in a template's text: a number, a
// duration, a time or a name. It may contain ${name}, a reference to a
// parameter.
type Scalar string

// expand replaces the parameters in s. If it can't, missing is the first name
// without a value, or an unclosed reference as written.
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
