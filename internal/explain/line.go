package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("explain")

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time
	Source  string // the daemon: the last word before the JSON, or else the file's name
	Part    string
	Message string
	Fields  Fields
	raw     map[string]any
}

// Fields are the fields that a Query is matched against.
type Fields struct {
	ID       string
	Requests []string // keys of requests; all retries of a request share one
	Parts    []string // of prompts, each its ID, @ and its scope
	Endpoint string
	Version  uint64
}

// lineBytes is the longest line that Read accepts; a longer one ends it with an error.
const lineBytes = 1 << 20

// Read returns the log lines of a reader. Lines of any other form are skipped,
// since logs may be mixed with other output. The last word before a line's JSON,
// such as a machine's name, is its source; without one, name is.
func Read(name string, r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), lineBytes)
	for s.Scan() {
		if l, ok := parse(name, s.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, Error.Wrap(s.Err())
}

func parse(name string, text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Source: name}
	if err := json.Unmarshal(text[at:], &l.raw); err != nil {
		return Line{}, false
	}
	if before := strings.Fields(string(text[:at])); len(before) > 0 {
		l.Source = before[len(before)-1]
	}
	l.Part, l.Message = l.text("part"), l.text("msg")
	when, err := time.Parse(time.RFC3339, l.text("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = when
	l.Fields = Fields{ID: l.text("id"), Requests: l.texts("request", "requests"), Parts: l.texts("prompt_part", "parts"), Endpoint: l.text("endpoint")}
	if v, ok := l.raw["version"].(float64); ok {
		l.Fields.Version = uint64(v)
	}
	return l, true
}

// texts returns the string in field one and the strings in field list, as one list.
func (l *Line) texts(one, list string) []string {
	var out []string
	if s := l.text(one); s != "" {
		out = append(out, s)
	}
	all, _ := l.raw[list].([]any)
	for _, v := range all {
		if s, ok := v.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

func (l *Line) text(key string) string {
	s, _ := l.raw[key].(string)
	return s
}
