package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Query selects log lines; exactly one field is set.
type Query struct {
	ID       string // of a request, the key that all its retries share, or a part of prompts, also without its scope
	Endpoint string
	Config   uint64 // a version of the configuration
}

// stateWindow is how far back a daemon's state is shown. It exceeds both the longest
// wait of a watch and the time in which an outage is detected.
const stateWindow = 6 * time.Second

// stateParts are the parts whose lines describe a daemon's own state.
var stateParts = []string{"daemon", "configuration", "endpoints", "membership", "settings", "duties", "store"}

// Write prints the lines that match q in order of time, and returns their number.
// It sorts lines in place.
func Write(w io.Writer, lines []Line, q Query) (int, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	found := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !q.matches(&l) })
	for i := range found {
		l := &found[i]
		if q.ID != "" {
			if err := writeState(w, lines, l); err != nil {
				return i, err
			}
		}
		if _, err := fmt.Fprintln(w, l.format("")); err != nil {
			return i, Error.Wrap(err)
		}
	}
	if len(sources(found)) > 1 {
		_, err := fmt.Fprintln(w, "\nTimes are each machine's own: lines of different machines may be out of order by what their clocks differ.")
		return len(found), Error.Wrap(err)
	}
	return len(found), nil
}

func (q Query) matches(l *Line) bool {
	switch {
	case q.ID != "":
		return l.Fields.ID == q.ID || slices.Contains(l.Fields.Requests, q.ID) || slices.ContainsFunc(l.Fields.Parts, q.names)
	case q.Endpoint != "":
		return l.Fields.Endpoint == q.Endpoint
	default:
		return l.Fields.Version == q.Config
	}
}

// names reports whether the query is for a part of prompts.
func (q Query) names(part string) bool {
	id, _, _ := strings.Cut(part, "@")
	return part == q.ID || id == q.ID
}

// writeState prints the lines just before a request's line: those that the same
// daemon logged about its state, and those of any daemon about the request's
// endpoint.
func writeState(w io.Writer, lines []Line, match *Line) error {
	for i := range lines {
		l := &lines[i]
		if l.Time.After(match.Time) || match.Time.Sub(l.Time) > stateWindow {
			continue
		}
		if l.Fields.ID != "" && l.Fields.ID == match.Fields.ID {
			continue // a match itself
		}
		// Lines about other requests tell nothing about the daemon, and there may be many.
		own := l.Source == match.Source && slices.Contains(stateParts, l.Part) && l.Fields.ID == ""
		endpoint := match.Fields.Endpoint != "" && l.Part == "endpoints" && l.Fields.Endpoint == match.Fields.Endpoint
		if !own && !endpoint {
			continue
		}
		if _, err := fmt.Fprintln(w, l.format("    ")); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func sources(lines []Line) map[string]bool {
	out := map[string]bool{}
	for i := range lines {
		out[lines[i].Source] = true
	}
	return out
}

// format returns a line for people: its message, then its other fields sorted by key.
func (l *Line) format(indent string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s %s %s: %s", indent, l.Time.Format("15:04:05.000"), l.Source, l.Part, l.Message)
	for _, key := range slices.SortedFunc(maps.Keys(l.raw), cmp.Compare[string]) {
		switch key {
		case "time", "part", "msg", "level":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", key, l.raw[key])
	}
	return b.String()
}
