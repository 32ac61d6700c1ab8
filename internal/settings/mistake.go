package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Mistake is one mistake in a file. Line and Column count from 1, and are 0 until
// the position is known.
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

// Mistakes holds all mistakes in a file, in the order of their positions. It is
// the cause of the errors that Parse, Read, Decode and Locate return for them.
type Mistakes struct {
	File string // name of the file; "" if unknown
	List []Mistake
}

// Error returns one mistake a line, as file:line:column: path: message, below a
// line with their number if there are several.
func (m *Mistakes) Error() string {
	lines := m.Lines()
	if len(lines) == 1 {
		return lines[0]
	}
	return fmt.Sprintf("%d mistakes\n%s", len(lines), strings.Join(lines, "\n"))
}

// Lines returns each mistake as file:line:column: path: message.
func (m *Mistakes) Lines() []string {
	file := ""
	if m.File != "" {
		file = m.File + ":"
	}
	lines := make([]string, 0, len(m.List))
	for _, mistake := range m.List {
		lines = append(lines, file+mistake.String())
	}
	return lines
}

// withPositions returns the mistakes as an error, nil if there are none. Those
// without a position get that of their path, or of the closest enclosing path if a
// key is missing.
func withPositions(list []Mistake, at positions) error {
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

// excludeRelated returns the mistakes of list that aren't at or below the path of
// one of found: a value that can't be decoded isn't reported as missing as well.
func excludeRelated(list, found []Mistake) []Mistake {
	return slices.DeleteFunc(list, func(m Mistake) bool {
		path := strings.TrimPrefix(m.Path, "$.")
		return slices.ContainsFunc(found, func(f Mistake) bool {
			return f.Path == "" || path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")
		})
	})
}
