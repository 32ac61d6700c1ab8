package template

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// binder decodes a YAML tree into a Go value. It keeps scalars as written,
// because a decoder that infers types first turns version 1.10 into 1.1. It
// continues after a problem, so that an operator sees all problems at once, and
// records the position of each field. Aliases, anchors, tags and merge keys are
// rejected: a template needs none, and aliases let a short text expand without
// bound.
type binder struct {
	problems *problems
}

func (b *binder) bind(node ast.Node, into reflect.Value, at *path) {
	b.recordPosition(node, at)
	if _, null := node.(*ast.NullNode); null {
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		b.bindStruct(node, into, at)
	case reflect.Map:
		b.bindMap(node, into, at)
	case reflect.Slice:
		b.bindSlice(node, into, at)
	case reflect.Bool:
		b.bindBool(node, into, at)
	default:
		b.bindString(node, into, at)
	}
}

// recordPosition records a field's position, unless that of its key is recorded
// already.
func (b *binder) recordPosition(node ast.Node, at *path) {
	text := at.String()
	if _, noted := b.problems.positions[text]; noted {
		return
	}
	token := node.GetToken()
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 && !mapping.IsFlowStyle {
		token = mapping.Values[0].Key.GetToken()
	}
	if token != nil && token.Position != nil {
		b.problems.positions[text] = position{token.Position.Line, token.Position.Column}
	}
}

// pairs returns a mapping's pairs and records the positions of their keys.
func (b *binder) pairs(node ast.Node, at *path) []pair {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		b.problems.add(at.String(), "must be a mapping")
		return nil
	}
	out := make([]pair, 0, len(values))
	seen := map[string]bool{}
	for _, value := range values {
		key, ok := scalarText(value.Key)
		if !ok {
			b.problems.add(at.String(), "keys must be plain words")
			continue
		}
		field := at.field(key)
		b.recordPosition(value.Key, field)
		if seen[key] {
			b.problems.add(field.String(), "stands twice")
			continue
		}
		seen[key] = true
		out = append(out, pair{key: key, value: value.Value, at: field})
	}
	return out
}

// pair is one key of a mapping and its value.
type pair struct {
	key   string
	value ast.Node
	at    *path
}

func (b *binder) bindStruct(node ast.Node, into reflect.Value, at *path) {
	fields := fieldsOf(into.Type())
	for _, p := range b.pairs(node, at) {
		index, known := fields[p.key]
		if !known {
			b.problems.add(p.at.String(), "unknown key; known are "+list(keysOf(into.Type())))
			continue
		}
		b.bind(p.value, into.Field(index), p.at)
	}
}

func (b *binder) bindMap(node ast.Node, into reflect.Value, at *path) {
	into.Set(reflect.MakeMap(into.Type()))
	for _, p := range b.pairs(node, at) {
		text, ok := scalarText(p.value)
		if !ok {
			b.problems.add(p.at.String(), "must be a single value")
			continue
		}
		into.SetMapIndex(reflect.ValueOf(p.key), reflect.ValueOf(text))
	}
}

func (b *binder) bindSlice(node ast.Node, into reflect.Value, at *path) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		b.problems.add(at.String(), "must be a sequence")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		b.bind(value, into.Index(i), at.item(i))
	}
}

func (b *binder) bindBool(node ast.Node, into reflect.Value, at *path) {
	switch text, _ := scalarText(node); text {
	case "true":
		into.SetBool(true)
	case "false":
		into.SetBool(false)
	default:
		b.problems.add(at.String(), "must be true or false")
	}
}

func (b *binder) bindString(node ast.Node, into reflect.Value, at *path) {
	text, ok := scalarText(node)
	if !ok {
		b.problems.add(at.String(), "must be a single value")
		return
	}
	into.SetString(text)
}

// scalarText returns a scalar as written, without quotes.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

// fieldsOf returns a struct's field indexes by their JSON keys.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" {
			fields[key] = i
		}
	}
	return fields
}

// keysOf returns a struct's JSON keys in the order of its fields.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// keyOf returns a field's JSON key, empty for a field without a JSON tag.
func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}
