package report

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"
)

// maxLine bounds one line of metrics, in bytes.
const maxLine = 1 << 20

// ParseMetrics reads metrics in the Prometheus text format. It skips comments,
// and values that are NaN or infinite, which JSON can't represent.
func ParseMetrics(r io.Reader) ([]Value, error) {
	var values []Value
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		v, err := parseValue(line)
		if err != nil {
			return nil, Error.New("line %d: %w", n, err)
		}
		if !math.IsNaN(v.Value) && !math.IsInf(v.Value, 0) {
			values = append(values, v)
		}
	}
	return values, Error.Wrap(lines.Err())
}

// parseValue reads "name{labels} value" or "name value". A timestamp after the
// value is ignored.
func parseValue(line string) (Value, error) {
	name, rest, labels := line, "", ""
	if open := strings.IndexByte(line, '{'); open >= 0 {
		end := labelsEnd(line[open:])
		if end < 0 {
			return Value{}, Error.New("unterminated labels")
		}
		name, labels, rest = line[:open], line[open+1:open+end], line[open+end+1:]
	} else if at := strings.IndexAny(line, " \t"); at >= 0 {
		name, rest = line[:at], line[at:]
	}
	fields := strings.Fields(rest)
	if name == "" || len(fields) == 0 {
		return Value{}, Error.New("%q is not a metric with a value", line)
	}
	v, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return Value{}, Error.Wrap(err)
	}
	return Value{Metric: strings.TrimSpace(name), Labels: labels, Value: v}, nil
}

// labelsEnd returns the index of the closing brace of the labels, or -1. Braces
// within quotes are part of a label's value.
func labelsEnd(s string) int {
	quoted := false
	for i := 0; i < len(s); i++ {
		switch {
		case quoted && s[i] == '\\':
			i++
		case s[i] == '"':
			quoted = !quoted
		case s[i] == '}' && !quoted:
			return i
		}
	}
	return -1
}
