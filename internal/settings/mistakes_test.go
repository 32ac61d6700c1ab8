package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// mistakeLines returns the lines of the *Mistakes in an error.
func mistakeLines(t *testing.T, err error) []string {
	t.Helper()
	var m *Mistakes
	assert.Assert(t, errors.As(err, &m), "%v", err)
	return m.Lines()
}

// Guards against a check that reports only the first mistake of a file: an operator
// would find the others one by one, with a restart of an instance for each.
func TestAllMistakesAreReportedInFileOrder(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(minimalYAML, "region: cane", "regoin: cane", 1) + `limits: {maxTokens: many, retain: 0s}
seeds: 127.0.0.1:4
operators:
- {name: ana, tokenSHA256: zz, role: admin}
allowPlainText: yes
instance: entry-2
`))
	lines := mistakeLines(t, err)
	for i, want := range []string{
		"1:1: region: is required",
		"3:1: regoin: unknown key; known are instance, dataCentre, region, ",
		`6:21: limits.maxTokens: "many" is not a whole number`,
		"6:35: limits.retain: must be a duration above zero",
		"7:8: seeds: must be a list",
		"9:28: operators[0].tokenSHA256: is not the 64 hexadecimal digits",
		"9:32: operators[0].role: unknown key; known are name, tokenSHA256",
		`10:17: allowPlainText: "yes" is not true or false`,
		"11:1: instance: stands twice",
	} {
		assert.Assert(t, i < len(lines) && strings.HasPrefix(lines[i], want), "%d: want %s in\n%s", i, want, err)
	}
	assert.Equal(t, len(lines), 9, "%s", err)
}

func TestInvalidValues(t *testing.T) {
	for _, c := range []struct{ name, add, want string }{
		{"number for a duration", "entries: {maxAge: 10}\n", `6:19: entries.maxAge: "10" is not a duration such as 10s`},
		{"age below a second", "entries: {maxAge: 500ms}\n", "6:19: entries.maxAge: is 500ms; the least is 1s"},
		{"not a number", "control: {fleetReads: .nan}\n", `6:23: control.fleetReads: ".nan" is not a number`},
		{"mapping for a value", "log: {level: {a: b}}\n", "6:7: log.level: must be a single value"},
		{"value for a mapping", "log: debug\n", "6:6: log: must be a mapping"},
		{"port out of range", "seeds: [\"127.0.0.1:70000\"]\n", `6:9: seeds[0]: "127.0.0.1:70000" is not host:port`},
		{"unspecified address", "advertise: {callers: \"0.0.0.0:1\"}\n", "6:22: advertise.callers: \"0.0.0.0:1\" is no address to connect to"},
		{"authority alone", "tls: {peers: {authority: a.pem}}\n", "6:26: tls.peers.authority: has no use without"},
		{"second document", "---\ninstance: entry-2\n", "7:1: a second document begins here"},
		{"tab", "log:\n\tlevel: debug\n", "7:1: found character '\t' that cannot start any token"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(minimalYAML + c.add))
			lines := mistakeLines(t, err)
			assert.Assert(t, strings.HasPrefix(lines[0], c.want), "%s", err)
			assert.Equal(t, len(lines), 1, "%s", err)
		})
	}
}

func TestTwoOperatorsMustNotShareAToken(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	_, err := Parse([]byte(minimalYAML + "operators:\n- {name: ana, tokenSHA256: " + hash + "}\n- {name: eva, tokenSHA256: " + strings.ToUpper(hash) + "}\n"))
	assert.DeepEqual(t, mistakeLines(t, err), []string{"8:28: operators[1].tokenSHA256: stands twice; a token belongs to one operator"})
}

// A key without a value, or a file with only comments, must keep the defaults: a
// limit of zero bytes would reject every request.
func TestEmptyValuesLeaveDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalYAML + "limits:\nentries: {}\nrouting: {policy: }\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits, Defaults().Limits)
	assert.Equal(t, s.Routing, Defaults().Routing)
	_, err = Parse([]byte("# nothing yet\n"))
	for _, line := range mistakeLines(t, err) {
		assert.Assert(t, strings.Contains(line, "required") || strings.Contains(line, "URL"), line)
	}
}

func TestMistakesStartWithFileName(t *testing.T) {
	_, err := Parse([]byte(minimalYAML + "log: {level: loud, format: xml}\n"))
	assert.DeepEqual(t, mistakeLines(t, InFile("entry.yaml", err)), []string{
		`entry.yaml:6:14: log.level: "loud" is none of debug, info, warn, error`,
		`entry.yaml:6:28: log.format: "xml" is none of text, json`,
	})
}
