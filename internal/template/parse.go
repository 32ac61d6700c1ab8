package template

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes bounds a template's text. The stored value, at most 1 MB, must
// also have room for the audit trail.
const MaxTextBytes = 512 << 10

// maxNesting bounds the nesting of brackets and indents. The schema needs six
// levels. The YAML parser recurses without a bound, and a text of nothing but
// brackets would exhaust the stack.
const maxNesting = 32

// Parse decodes a template in YAML or JSON and checks it. It returns all
// problems in the order of the text. The template is nil if the text has a
// syntax error; with other problems it holds what could be decoded.
func Parse(text []byte) (*Template, []Problem) {
	found := &problems{positions: map[string]position{}}
	if len(text) > MaxTextBytes {
		found.add("", fmt.Sprintf("the text has more than %d bytes", MaxTextBytes))
		return nil, found.list
	}
	root, problem := document(text)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	t := new(Template)
	b := binder{problems: found}
	b.bind(root, reflect.ValueOf(t).Elem(), nil)
	t.positions = found.positions
	t.check(found)
	return t, found.sorted()
}

// document returns the root of the only document in a text.
func document(text []byte) (ast.Node, *Problem) {
	if problem := checkNesting(text); problem != nil {
		return nil, problem
	}
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblem(text, err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, &Problem{Message: fmt.Sprintf("one document is needed, the text has %d", len(file.Docs))}
	}
	return file.Docs[0].Body, nil
}

// syntaxProblem returns the parser's error with its position.
func syntaxProblem(text []byte, err error) *Problem {
	problem := &Problem{Message: err.Error()}
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) {
		return problem
	}
	problem.Message = syntax.Message
	if syntax.Token != nil && syntax.Token.Position != nil {
		problem.Line = syntax.Token.Position.Line
		problem.Column = syntax.Token.Position.Column
	}
	if line := lineOf(text, problem.Line); bytes.Contains(line, []byte("${")) {
		problem.Message += "; within brackets a ${parameter} must stand in quotes"
	}
	return problem
}

// lineOf returns a line of a text, counted from 1.
func lineOf(text []byte, number int) []byte {
	for line := range bytes.Lines(text) {
		if number--; number == 0 {
			return line
		}
	}
	return nil
}

// checkNesting returns a problem for a text that might nest deeper than
// maxNesting. It counts every bracket, also in strings, and each dash and
// question mark that opens a level within a line.
func checkNesting(text []byte) *Problem {
	depth := 0
	for number, line := range bytes.Split(text, []byte("\n")) {
		indent := len(line) - len(bytes.TrimLeft(line, " "))
		opened := bytes.Count(line, []byte("- ")) + bytes.Count(line, []byte("? "))
		for _, c := range line {
			switch c {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(depth-1, 0)
			}
			if depth > maxNesting {
				break
			}
		}
		if max(depth, opened, indent/2) > maxNesting {
			return &Problem{Line: number + 1, Column: 1, Message: "nested too deep"}
		}
	}
	return nil
}

// list joins words into one text for a message.
func list(words []string) string { return strings.Join(words, ", ") }
