package template

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a template is invalid. Line and Column count from
// 1; they are 0 for a template that wasn't parsed from a text.
type Problem struct {
	Path    string `json:"path"` // such as workspaces[0].limits.burst
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// String returns "line:column: path: message".
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", p.Line, p.Column)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// position is a place in a template's text, counted from 1.
type position struct {
	line, column int
}

// maxProblems bounds the reported problems: one mistake in a template of a
// thousand workspaces can cause a thousand of them.
const maxProblems = 100

// problems collects a template's problems.
type problems struct {
	list      []Problem
	positions map[string]position
	seen      map[Problem]bool
}

// add adds a problem at a path, unless it was added before.
func (p *problems) add(path, message string) {
	if len(p.list) >= maxProblems {
		return
	}
	at := nearest(p.positions, path)
	problem := Problem{Path: path, Line: at.line, Column: at.column, Message: message}
	if p.seen[problem] {
		return
	}
	if p.seen == nil {
		p.seen = map[Problem]bool{}
	}
	p.seen[problem] = true
	p.list = append(p.list, problem)
}

// nearest returns the position of a path; if the field is missing from the
// text, that of the innermost enclosing field.
func nearest(positions map[string]position, path string) position {
	for path != "" {
		if at, ok := positions[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return positions[""]
}

// sorted returns the problems in the order of the text.
func (p *problems) sorted() []Problem {
	slices.SortStableFunc(p.list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.list
}
