package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// document returns the root of the only document in a text, nil where it is
// empty.
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
		at := placeOf(roots[1])
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

// place is where something stands in a text, from 1.
type place struct{ line, column int }

// placeOf returns where a node begins. A mapping's own token is the colon
// after its first key.
func placeOf(node ast.Node) place {
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
		return place{}
	}
	return place{token.Position.Line, token.Position.Column}
}

// places says where each path of a file stands: scalars by their values, what
// holds others by its key.
type places map[string]place

// nearest returns the place of a path, of what encloses it, or of the file's begin.
func (p places) nearest(path string) place {
	for path != "" {
		if at, ok := p[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return place{1, 1}
}

// placesOf returns the places of all paths of a document.
func placesOf(root ast.Node) places {
	p := places{}
	p.add(root, "")
	return p
}

// add notes every path under a node; at is the node's own.
func (p places) add(node ast.Node, at string) {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		for _, pair := range pairsOf(n) {
			path := joined(at, keyOf(pair))
			p[path] = placeOf(pair.Key)
			p.add(pair.Value, path)
		}
	case *ast.SequenceNode:
		for i, value := range n.Values {
			path := fmt.Sprintf("%s[%d]", at, i)
			p[path] = placeOf(value)
			p.add(value, path)
		}
	case nil, *ast.NullNode:
	default:
		p[at] = placeOf(n)
	}
}

// pairsOf returns a mapping's pairs; nil for what is no mapping.
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

// joined returns the path of a key under another path.
func joined(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}
