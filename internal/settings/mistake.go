package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Mistake is one fault of a file. Line and Column count from 1 and are 0 until
// the mistake is located.
type Mistake struct {
	Path    string // such as listen.callers or operators[0].name; "" is the whole file
	Message string
	Line    int
	Column  int
}

// String returns "line:column: path: message".
func (m Mistake) String() string {
	var b strings.Builder
	if m.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", m.Line, m.Column)
	}
	if m.Path != "" {
		b.WriteString(m.Path + ": ")
	}
	b.WriteString(m.Message)
	return b.String()
}

// Mistakes is every fault of a file, in the order of the text. It is the cause
// of the errors that Parse, Read, Decode and Locate return.
type Mistakes struct {
	File string // name of the file, where it is known
	List []Mistake
}

// Error puts each fault on a line of its own, as file:line:column: path: message.
func (m *Mistakes) Error() string {
	lines := m.Lines()
	if len(lines) == 1 {
		return lines[0]
	}
	return fmt.Sprintf("%d mistakes\n%s", len(lines), strings.Join(lines, "\n"))
}

// Lines returns the faults as text, one each.
func (m *Mistakes) Lines() []string {
	file := ""
	if m.File != "" {
		file = m.File + ":"
	}
	lines := make([]string, 0, len(m.List))
	for _, one := range m.List {
		lines = append(lines, file+one.String())
	}
	return lines
}

// located returns the faults as an error, nil for none. Those without a place
// get that of their path, or of what encloses a key that is missing.
func located(list []Mistake, at places) error {
	if len(list) == 0 {
		return nil
	}
	for i := range list {
		m := &list[i]
		m.Path = strings.TrimPrefix(m.Path, "$.")
		if m.Line == 0 {
			p := at.nearest(m.Path)
			m.Line, m.Column = p.line, p.column
		}
	}
	slices.SortStableFunc(list, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return Error.Wrap(&Mistakes{List: list})
}

// unrelated returns the faults of list at whose paths none of found stands: a
// value that can't be read is not missing as well.
func unrelated(list, found []Mistake) []Mistake {
	return slices.DeleteFunc(list, func(m Mistake) bool {
		path := strings.TrimPrefix(m.Path, "$.")
		return slices.ContainsFunc(found, func(f Mistake) bool {
			return f.Path == "" || path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")
		})
	})
}
