package cli

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// commandsOf returns a command and all its subcommands, except those that cobra
// adds.
func commandsOf(c *cobra.Command) []*cobra.Command {
	all := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		if sub.Name() != "help" && sub.Name() != "completion" {
			all = append(all, commandsOf(sub)...)
		}
	}
	return all
}

// splitWords splits an example's line into words as a shell does. It supports
// double quotes, and drops a redirection of the output.
func splitWords(line string) []string {
	line, _, _ = strings.Cut(line, " > ")
	var words []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}

// assertParses fails unless a line is a runnable command with valid flags and
// arguments, and returns the command.
func assertParses(t *testing.T, root *cobra.Command, line string) *cobra.Command {
	t.Helper()
	words := splitWords(line)
	assert.Equal(t, words[0], "cyclamenbeam", line)
	root.InitDefaultCompletionCmd()
	target, rest, err := root.Find(words[1:])
	assert.NilError(t, err, line)
	assert.Assert(t, target.Runnable(), line)
	assert.NilError(t, target.ParseFlags(rest), line)
	assert.NilError(t, target.ValidateRequiredFlags(), line)
	assert.NilError(t, target.ValidateFlagGroups(), line)
	assert.NilError(t, target.ValidateArgs(target.Flags().Args()), line)
	return target
}

// Guards against an example that keeps the old name of a renamed flag: copied
// from the help, it would fail with an unknown flag.
func TestEveryCommandHasExamplesThatParse(t *testing.T) {
	a := &app{stdout: &bytes.Buffer{}, stderr: &bytes.Buffer{}}
	for _, c := range commandsOf(newRoot(a))[1:] {
		t.Run(c.CommandPath(), func(t *testing.T) {
			assert.Assert(t, c.Example != "", "no example")
			for line := range strings.Lines(c.Example) {
				target := assertParses(t, newRoot(a), line)
				assert.Assert(t, strings.HasPrefix(target.CommandPath(), c.CommandPath()), line)
			}
		})
	}
}

// documents show commands. The paths are relative to this package.
var documents = []string{"../../README.md", "../../docs/OPERATIONS.md"}

// Guards against a document that shows a command with a removed flag: an
// operator who follows it would have to stop half-way through a month-end closing.
func TestCommandsInDocumentsParse(t *testing.T) {
	commands := regexp.MustCompile(`(?m)^[ \t]*(?:[A-Z_]+=\S+ |timeout \d+ |go run \./cmd/)?(cyclamenbeam [^|;&>#\n]*)`)
	variable := regexp.MustCompile(`\$\w+`)
	for _, page := range documents {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		found := commands.FindAllStringSubmatch(strings.ReplaceAll(string(text), "\\\n", " "), -1)
		for _, f := range found {
			assertParses(t, newRoot(&app{}), variable.ReplaceAllString(f[1], "1"))
		}
		t.Logf("%s: %d commands", page, len(found))
	}
}

func TestCompletionSuggestsCommandsAndFlags(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"temp", "template"},
		{"template ap", "apply"},
		{"check --set", "--settings"},
		{"audit --output ", "table\njson\nyaml"},
	} {
		var out bytes.Buffer
		args := append([]string{cobra.ShellCompRequestCmd}, strings.Split(c.line, " ")...)
		assert.Equal(t, Execute(args, &out, &bytes.Buffer{}), exitOK)
		assert.Assert(t, strings.HasPrefix(out.String(), c.want), out.String())
	}
	var script bytes.Buffer
	assert.Equal(t, Execute([]string{"completion", "bash"}, &script, &bytes.Buffer{}), exitOK)
	assert.Assert(t, strings.Contains(script.String(), "complete -o default"))
}
