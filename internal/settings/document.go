package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// document returns the root of the only YAML document in a file, nil if the file
// is empty.
func document(data []byte) (ast.Node, *Mistake) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxMistake(err)
	}
	var roots []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil && d.Body.Type() != ast.CommentType {
			roots = append(roots, d.Body)
		}
	}
	switch len(roots) {
	case 0:
		return nil, nil
	case 1:
		return roots[0], nil
	default:
		at := positionOf(roots[1])
		return nil, &Mistake{Message: "a second document begins here; one is read", Line: at.line, Column: at.column}
	}
}

func syntaxMistake(err error) *Mistake {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) {
		return &Mistake{Message: err.Error()}
	}
	m := &Mistake{Message: syntax.Message}
	if syntax.Token != nil && syntax.Token.Position != nil {
		m.Line, m.Column = syntax.Token.Position.Line, syntax.Token.Position.Column
	}
	return m
}

// position is a place in a file, counted from 1.
type position struct{ line, column int }

// positionOf returns where a node begins. For a mapping that is its first key: its
// own token is the colon after that.
func positionOf(node ast.Node) position {
	token := node.GetToken()
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			token = n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		token = n.Key.GetToken()
	}
	if token == nil || token.Position == nil {
		return position{}
	}
	return position{token.Position.Line, token.Position.Column}
}

// positions maps each path of a file to its position: that of the value for a
// scalar or an item of a list, that of the key for any other value.
type positions map[string]position

// nearest returns the position of a path, or else of the closest path that
// encloses it, or else the start of the file.
func (p positions) nearest(path string) position {
	for path != "" {
		if at, ok := p[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return position{1, 1}
}

// positionsOf returns the positions of all paths of a document.
func positionsOf(root ast.Node) positions {
	p := positions{}
	p.add(root, "")
	return p
}

// add adds the position of every path below a node; at is the node's own path.
func (p positions) add(node ast.Node, at string) {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		for _, pair := range pairsOf(n) {
			path := joinPath(at, keyOf(pair))
			p[path] = positionOf(pair.Key)
			p.add(pair.Value, path)
		}
	case *ast.SequenceNode:
		for i, value := range n.Values {
			path := fmt.Sprintf("%s[%d]", at, i)
			p[path] = positionOf(value)
			p.add(value, path)
		}
	case nil, *ast.NullNode:
	default:
		p[at] = positionOf(n)
	}
}

// pairsOf returns a mapping's pairs, nil for any other node.
func pairsOf(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	default:
		return nil
	}
}

func keyOf(pair *ast.MappingValueNode) string { return pair.Key.GetToken().Value }

// joinPath appends a key to a path.
func joinPath(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}
