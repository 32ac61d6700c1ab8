package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// commandsOf returns a command and all below it, without cobra's own.
func commandsOf(c *cobra.Command) []*cobra.Command {
	all := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		if sub.Name() != "help" && sub.Name() != "completion" {
			all = append(all, commandsOf(sub)...)
		}
	}
	return all
}

// wordsOf splits an example's line as a shell does, as far as examples go.
func wordsOf(line string) []string {
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

// A flag is renamed and an example keeps the old name. Whoever copies it is
// told that the flag is unknown, by the page that named it.
func TestEveryCommandHasExamplesThatParse(t *testing.T) {
	a := &app{stdout: &bytes.Buffer{}, stderr: &bytes.Buffer{}}
	for _, c := range commandsOf(newRoot(a))[1:] {
		t.Run(c.CommandPath(), func(t *testing.T) {
			assert.Assert(t, c.Example != "", "no example")
			for line := range strings.Lines(c.Example) {
				words := wordsOf(line)
				assert.Equal(t, words[0], "cyclamenbeam", line)
				target, rest, err := newRoot(a).Find(words[1:])
				assert.NilError(t, err, line)
				assert.Assert(t, target.Runnable() && strings.HasPrefix(target.CommandPath(), c.CommandPath()), line)
				assert.NilError(t, target.ParseFlags(rest), line)
				assert.NilError(t, target.ValidateRequiredFlags(), line)
				assert.NilError(t, target.ValidateFlagGroups(), line)
				assert.NilError(t, target.ValidateArgs(target.Flags().Args()), line)
			}
		})
	}
}

func TestCompletionNamesCommandsAndFlags(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"temp", "template"},
		{"template ap", "apply"},
		{"check --set", "--settings"},
		{"audit --output ", "table\njson\nyaml"},
	} {
		var out bytes.Buffer
		args := append([]string{cobra.ShellCompRequestCmd}, strings.Split(c.line, " ")...)
		assert.Equal(t, Execute(args, &out, &bytes.Buffer{}), exitDone)
		assert.Assert(t, strings.HasPrefix(out.String(), c.want), out.String())
	}
	var script bytes.Buffer
	assert.Equal(t, Execute([]string{"completion", "bash"}, &script, &bytes.Buffer{}), exitDone)
	assert.Assert(t, strings.Contains(script.String(), "complete -o default"))
}
