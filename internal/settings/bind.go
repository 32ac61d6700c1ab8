package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// binder sets a Go value from a YAML tree. Unlike the library's decoder, it
// collects all mistakes instead of stopping at the first, describes the expected
// values in an operator's terms, and keeps the default of a key without a value.
type binder struct{ mistakes []Mistake }

var durationType = reflect.TypeFor[time.Duration]()

func (b *binder) add(path, format string, args ...any) {
	b.mistakes = append(b.mistakes, Mistake{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (b *binder) bind(node ast.Node, into reflect.Value, at string) {
	if _, null := node.(*ast.NullNode); null || node == nil {
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		b.bindStruct(node, into, at)
	case reflect.Slice:
		b.bindSlice(node, into, at)
	default:
		b.bindScalar(node, into, at)
	}
}

func (b *binder) bindStruct(node ast.Node, into reflect.Value, at string) {
	pairs := pairsOf(node)
	if pairs == nil {
		if m, empty := node.(*ast.MappingNode); !empty || len(m.Values) > 0 {
			b.add(at, "must be a mapping")
		}
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		key := keyOf(pair)
		path := joinPath(at, key)
		i, known := fields.index[key]
		switch {
		case !known:
			b.addAtKey(pair, path, "unknown key; known are "+strings.Join(fields.keys, ", "))
		case seen[key]:
			b.addAtKey(pair, path, "stands twice")
		default:
			seen[key] = true
			b.bind(pair.Value, into.Field(i), path)
		}
	}
}

// addAtKey adds a mistake at the position of the key rather than of its value.
func (b *binder) addAtKey(pair *ast.MappingValueNode, path, message string) {
	at := positionOf(pair.Key)
	b.mistakes = append(b.mistakes, Mistake{Path: path, Message: message, Line: at.line, Column: at.column})
}

func (b *binder) bindSlice(node ast.Node, into reflect.Value, at string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		b.add(at, "must be a list, such as [a, b]")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		b.bind(value, into.Index(i), fmt.Sprintf("%s[%d]", at, i))
	}
}

func (b *binder) bindScalar(node ast.Node, into reflect.Value, at string) {
	text, ok := scalarText(node)
	if !ok {
		b.add(at, "must be a single value, without anchor, alias or tag")
		return
	}
	if want := set(into, text); want != "" {
		b.add(at, "%q is not %s", text, want)
	}
}

// set parses a scalar into a value. If it can't, it leaves the value unchanged and
// returns a description of what was expected.
func set(into reflect.Value, text string) (want string) {
	switch {
	case into.Type() == durationType:
		d, err := time.ParseDuration(text)
		return assignIfValid(err, func() { into.SetInt(int64(d)) }, "a duration such as 10s or 1m30s")
	case into.Kind() == reflect.String:
		into.SetString(text)
		return ""
	case into.Kind() == reflect.Bool:
		return assignIfValid(errUnless(text == "true" || text == "false"), func() { into.SetBool(text == "true") }, "true or false")
	case into.CanInt():
		v, err := strconv.ParseInt(text, 0, into.Type().Bits())
		return assignIfValid(err, func() { into.SetInt(v) }, "a whole number")
	case into.CanUint():
		v, err := strconv.ParseUint(text, 0, into.Type().Bits())
		return assignIfValid(err, func() { into.SetUint(v) }, "a whole number from 0")
	case into.CanFloat():
		v, err := strconv.ParseFloat(text, into.Type().Bits())
		if math.IsNaN(v) || math.IsInf(v, 0) {
			err = strconv.ErrRange
		}
		return assignIfValid(err, func() { into.SetFloat(v) }, "a number")
	default:
		return "of a kind that can be read: " + into.Type().String()
	}
}

func assignIfValid(err error, assign func(), want string) string {
	if err != nil {
		return want
	}
	assign()
	return ""
}

func errUnless(ok bool) error {
	if ok {
		return nil
	}
	return strconv.ErrSyntax
}

// scalarText returns a scalar as written in the file, without quotes, and false for
// any other node.
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

// structFields holds the YAML keys of a struct in the order of its fields, and
// each key's field index.
type structFields struct {
	keys  []string
	index map[string]int
}

func fieldsOf(t reflect.Type) structFields {
	f := structFields{index: make(map[string]int)}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			f.keys = append(f.keys, key)
			f.index[key] = i
		}
	}
	return f
}
