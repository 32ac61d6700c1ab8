package node

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// settingsPage is the page that must list every key.
const settingsPage = "../../docs/PLATFORM-SETTINGS.md"

func TestSettingsPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	keys := 0
	var walk func(typ reflect.Type, path string)
	walk = func(typ reflect.Type, path string) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			key := strings.TrimPrefix(path+"."+f.Tag.Get("yaml"), ".")
			switch f.Type.Kind() {
			case reflect.Struct:
				walk(f.Type, key)
				continue
			case reflect.Slice:
				key += "[]"
			}
			keys++
			assert.Check(t, strings.Contains(string(text), "`"+key+"`"), "%s is missing", key)
		}
	}
	walk(reflect.TypeFor[Settings](), "")
	assert.Assert(t, keys > 20, "only %d keys", keys)
}

// A platform that states no bound renders its key without a value: the default applies.
func TestBoundWithoutAValueHasItsDefault(t *testing.T) {
	s, err := ParseSettings([]byte("daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\nbounds:\n  contactMillis: \n  changeMillis: \n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Bounds.ContactMillis, 3000.0)
	assert.Equal(t, s.Bounds.ChangeMillis, 2000.0)
}

// Guards against a misspelt setting that changes how limits are spent.
func TestLimitsAreSpentByPriorityUnlessSetOff(t *testing.T) {
	const text = "daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\n"
	for limits, want := range map[string]ByPriority{
		"": AutoByPriority, "limits: {memoryMB: 5}\n": AutoByPriority, "limits: {by_priority: auto}\n": AutoByPriority, "limits: {by_priority: off}\n": NotByPriority,
	} {
		s, err := ParseSettings([]byte(text + limits))
		assert.NilError(t, err)
		assert.Equal(t, s.Limits.ByPriority, want, limits)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"store: {address: a:1}": "daemon.instance: is missing",
		"daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\nbounds: {graceSeconds: 0}":     "bounds.graceSeconds",
		"daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\nbounds: {contactMillis: 0}":    "bounds.contactMillis",
		"daemon: {instance: i, dataCentre: d}\nlisten: {callers: a:1, peers: a:2}\nstore: {address: a:3}\nlimits: {by_priority: always}": "limits.by_priority: must be auto or off",
		"store: {adress: a:1}": `unknown field "adress"`,
		"store: [":             "",
	} {
		_, err := ParseSettings([]byte(text))
		assert.ErrorContains(t, err, want)
	}
	assert.Assert(t, !Recognise([]byte("instance: i")))
	assert.Assert(t, !Recognise([]byte("store: [")))
}
