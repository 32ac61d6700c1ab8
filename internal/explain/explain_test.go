package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  1.0 front-a {"level":"info","msg":"in force","part":"configuration","version":7,"time":"2026-12-02T10:00:01.000Z"}
  2.0 front-b {"level":"warning","msg":"store lost","part":"endpoints","time":"2026-12-02T10:00:02.000Z"}
not a log line
  3.0 front-b {"level":"info","msg":"endpoint leaves","part":"endpoints","endpoint":"e1","time":"2026-12-02T10:00:03.000Z"}
  4.0 front-a {"level":"warning","msg":"not answered","part":"requests","id":"r1","endpoint":"e1","reason":"broken","time":"2026-12-02T10:00:04.000Z"}
  9.0 front-b {"level":"info","msg":"answered","part":"requests","id":"r1","endpoint":"e2","time":"2026-12-02T10:00:09.000Z"}
  9.5 front-b {"level":"info","msg":"answered","part":"requests","id":"r2","endpoint":"e2","time":"2026-12-02T10:00:09.500Z"}
`

// Requests that share a part of their prompts and nothing else crash endpoints. All lines about
// the part must be found by the ID that callers send, and no others.
func TestCrashesAreFoundByAPartOfPrompts(t *testing.T) {
	lines, err := Read("file", strings.NewReader(`
  1.0 front-a {"msg":"endpoint ended under requests","part":"quarantine","endpoint":"e1","parts":["5c1e07a2@0000beef","91bd@0000beef"],"time":"2026-12-02T10:00:01.000Z"}
  2.0 front-b {"msg":"endpoint ended under requests","part":"quarantine","endpoint":"e2","parts":["15c1e07a2@0000beef"],"time":"2026-12-02T10:00:02.000Z"}
  3.0 front-b {"msg":"part of prompts held","part":"quarantine","prompt_part":"5c1e07a2@0000beef","time":"2026-12-02T10:00:03.000Z"}
`))
	assert.NilError(t, err)
	for id, want := range map[string]int{"5c1e07a2": 2, "5c1e07a2@0000beef": 2, "5c1e07a2@0000dead": 0, "91bd": 1} {
		n, err := Write(&strings.Builder{}, lines, Query{ID: id})
		assert.NilError(t, err)
		assert.Equal(t, n, want, id)
	}
}

func explained(t *testing.T, q Query) (int, string) {
	t.Helper()
	lines, err := Read("file", strings.NewReader(logs))
	assert.NilError(t, err)
	var b strings.Builder
	n, err := Write(&b, lines, q)
	assert.NilError(t, err)
	return n, b.String()
}

// Two daemons log attempts of one request. The lines must come in order of time,
// with the state of each daemon before its line, and with another daemon's line
// about the endpoint.
func TestRequestIsShownInOrderWithDaemonState(t *testing.T) {
	n, text := explained(t, Query{ID: "r1"})
	assert.Equal(t, n, 2)
	want := []string{"front-a configuration: in force", "front-b endpoints: endpoint leaves", "front-a requests: not answered", "reason=broken", "front-b requests: answered", "clocks differ"}
	at := 0
	for _, w := range want {
		i := strings.Index(text[at:], w)
		assert.Assert(t, i >= 0, "%q is missing or out of order in:\n%s", w, text)
		at += i
	}
	assert.Assert(t, !strings.Contains(text, "r2"))
}

// Guards against a spoiled answer that can't be found by its request, and lines about those of other
// endpoints in between.
func TestInvalidAnswersOfARequestAreShown(t *testing.T) {
	lines, err := Read("file", strings.NewReader(`
1.0 front-a {"msg":"answer is invalid","part":"endpoints","id":"r1","endpoint":"e1","kind":"missing-id","after":"7","time":"2026-12-02T10:00:01.000Z"}
1.1 front-a {"msg":"answer is invalid","part":"endpoints","id":"r2","endpoint":"e1","kind":"not-text","time":"2026-12-02T10:00:01.100Z"}
1.2 front-a {"msg":"answer is invalid","part":"endpoints","id":"r3","endpoint":"e3","kind":"not-a-field","time":"2026-12-02T10:00:01.200Z"}
1.3 front-a {"msg":"not answered","part":"requests","id":"r1","endpoint":"e1","reason":"broken","time":"2026-12-02T10:00:01.300Z"}
`))
	assert.NilError(t, err)
	var b strings.Builder
	n, err := Write(&b, lines, Query{ID: "r1"})
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
	assert.Equal(t, strings.Count(b.String(), "kind=missing-id"), 1, b.String())
	assert.Equal(t, strings.Count(b.String(), "    10:00:01.100 front-a endpoints: answer is invalid"), 1, b.String())
	assert.Assert(t, !strings.Contains(b.String(), "r3"), b.String())
}

func TestLinesAreSelectedByEndpointOrVersion(t *testing.T) {
	n, _ := explained(t, Query{Endpoint: "e2"})
	assert.Equal(t, n, 2)
	n, text := explained(t, Query{Config: 7})
	assert.Equal(t, n, 1)
	assert.Assert(t, strings.Contains(text, "front-a"))
	n, _ = explained(t, Query{ID: "nobody"})
	assert.Equal(t, n, 0)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Add([]byte("{}\n{\"time\":1}\nx{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := Read("f", strings.NewReader(string(text)))
		if err != nil {
			return
		}
		var b strings.Builder
		_, err = Write(&b, lines, Query{ID: "r1"})
		assert.NilError(t, err)
	})
}

// A request crashes endpoints and is retried under new ids. A search for the key
// that its retries share must find the attempts, the crashes and the quarantine
// decision in the logs of all daemons.
func TestRetriesAreFoundByTheirSharedKey(t *testing.T) {
	const text = `
1.0 front-a {"msg":"not answered","part":"requests","id":"r1","request":"k1","time":"2026-12-02T10:00:01.000Z"}
1.1 front-a {"msg":"endpoint ended under requests","part":"quarantine","endpoint":"e1","requests":["k2","k1"],"time":"2026-12-02T10:00:01.100Z"}
2.0 front-b {"msg":"not answered","part":"requests","id":"r2","request":"k1","time":"2026-12-02T10:00:02.000Z"}
2.1 front-b {"msg":"request held: it crashes the endpoints that run it","part":"quarantine","request":"k1","crashes":3,"time":"2026-12-02T10:00:02.100Z"}
2.2 front-b {"msg":"request held: it crashes the endpoints that run it","part":"quarantine","request":"k3","crashes":3,"time":"2026-12-02T10:00:02.200Z"}
`
	lines, err := Read("file", strings.NewReader(text))
	assert.NilError(t, err)
	var b strings.Builder
	n, err := Write(&b, lines, Query{ID: "k1"})
	assert.NilError(t, err)
	assert.Equal(t, n, 4)
	assert.Assert(t, !strings.Contains(b.String(), "k3"))
}
