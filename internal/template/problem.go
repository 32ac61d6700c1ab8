package template

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a template. Line and Column count from 1; they are 0
// in a template that didn't come from a text.
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

// position is a place in a template's text, from 1.
type position struct {
	line, column int
}

// maxProblems bounds a report: one fault in a template of a thousand
// workspaces can show a thousand times, and nobody reads that far.
const maxProblems = 100

// problems collects faults.
type problems struct {
	found     []Problem
	positions map[string]position
	seen      map[Problem]bool
}

// add notes a fault at a path, once.
func (p *problems) add(path, message string) {
	if len(p.found) >= maxProblems {
		return
	}
	at := nearest(p.positions, path)
	fault := Problem{Path: path, Line: at.line, Column: at.column, Message: message}
	if p.seen[fault] {
		return
	}
	if p.seen == nil {
		p.seen = map[Problem]bool{}
	}
	p.seen[fault] = true
	p.found = append(p.found, fault)
}

// nearest returns the position of a path, or of what encloses a field that is
// missing.
func nearest(positions map[string]position, path string) position {
	for path != "" {
		if at, ok := positions[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return positions[""]
}

// sorted returns the faults in the order of the text.
func (p *problems) sorted() []Problem {
	slices.SortStableFunc(p.found, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.found
}
