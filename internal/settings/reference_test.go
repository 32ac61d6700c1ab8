package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// referencePage is the settings reference for operators, relative to this package.
const referencePage = "../../docs/SETTINGS.md"

// referenceRow is the row of one key in the reference page.
type referenceRow struct{ kind, byDefault, meaning string }

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*)\\| (.*) \\|$")

func readReference(t *testing.T) map[string]referenceRow {
	t.Helper()
	page, err := os.ReadFile(referencePage)
	assert.NilError(t, err)
	rows := make(map[string]referenceRow)
	for _, cells := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		_, twice := rows[cells[1]]
		assert.Assert(t, !twice, "%s is listed twice in the page", cells[1])
		rows[cells[1]] = referenceRow{kind: cells[2], byDefault: cells[3], meaning: cells[5]}
	}
	return rows
}

// kindOf returns the reference page's name for a type of value.
func kindOf(t *testing.T, v reflect.Value) string {
	t.Helper()
	switch {
	case v.Type() == durationType:
		return "duration"
	case v.Kind() == reflect.String:
		return "text"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.CanInt(), v.CanUint():
		return "whole number"
	case v.CanFloat():
		return "number"
	}
	t.Fatalf("settings can't be read into a %s", v.Type())
	return ""
}

// defaultMatches reports whether a cell states the default v. Lists' items and
// texts without a default are described in words.
func defaultMatches(v reflect.Value, inList bool, cell string) bool {
	words := cell == "required" || cell == "none" || strings.HasPrefix(cell, "that of `")
	if inList || v.Kind() == reflect.String && v.String() == "" {
		return words
	}
	if v.Type() == durationType {
		d, err := time.ParseDuration(cell)
		return err == nil && d == time.Duration(v.Int())
	}
	return fmt.Sprint(v.Interface()) == cell
}

// Guards against a reference page that lacks a key or states a wrong default:
// operators write their files by it, and would notice only on a running instance.
func TestReferencePageMatchesTheTypes(t *testing.T) {
	rows := readReference(t)
	check := func(path string, v reflect.Value, inList bool) {
		row, ok := rows[path]
		if !ok {
			t.Errorf("%s is missing in %s", path, referencePage)
			return
		}
		delete(rows, path)
		if want := kindOf(t, v); row.kind != want {
			t.Errorf("%s: the page says %q, the type is %q", path, row.kind, want)
		}
		if !defaultMatches(v, inList, row.byDefault) {
			t.Errorf("%s: the page says default %q, it is %v", path, row.byDefault, v.Interface())
		}
		if len(row.meaning) < len("the key") {
			t.Errorf("%s: no meaning is given", path)
		}
	}
	walk(reflect.ValueOf(Defaults()), "", false, check)
	for path := range rows {
		t.Errorf("%s is listed in %s but is not a key", path, referencePage)
	}
}

// walk calls visit for every scalar below v, with its path of yaml tags. For a
// list it visits a zero item.
func walk(v reflect.Value, path string, inList bool, visit func(string, reflect.Value, bool)) {
	switch v.Kind() {
	case reflect.Struct:
		fields := fieldsOf(v.Type())
		for _, key := range fields.keys {
			walk(v.Field(fields.index[key]), joinPath(path, key), inList, visit)
		}
	case reflect.Slice:
		walk(reflect.Zero(v.Type().Elem()), path+"[]", true, visit)
	default:
		visit(path, v, inList)
	}
}

func TestReferencePageNamesEveryPolicy(t *testing.T) {
	meaning := readReference(t)["routing.policy"].meaning
	for _, p := range Policies {
		assert.Assert(t, strings.Contains(meaning, "`"+p+"`"), p)
	}
}
