package template

import (
	"fmt"
	"strings"
)

// pattern matches paths of a plain service. A segment * matches any one
// segment, and ** at the end matches any number of segments, including none.
// Case, empty and "." segments and the part of a segment after a semicolon are
// ignored: a service may treat //Orders;a=b/ as /orders, and a call that is
// wrongly classified as idempotent could run twice.
type pattern struct {
	segments []string // lower case
	rest     bool     // ends in **
}

// compilePattern parses a pattern such as /orders, /orders/*/lines or
// /admin/**. A non-empty fault describes why the pattern is invalid.
func compilePattern(text string) (p pattern, fault string) {
	if !strings.HasPrefix(text, "/") || len(text) > maxPathBytes {
		return p, fmt.Sprintf("must start with / and have at most %d bytes", maxPathBytes)
	}
	if strings.ContainsAny(text, "?#%") || strings.Contains(text, "${") {
		return p, "must be a plain path, without query, escapes and parameters"
	}
	for segment := range strings.SplitSeq(strings.ToLower(text), "/") {
		switch {
		case p.rest:
			return p, "** may only stand at the end"
		case segment == "" || segment == ".":
		case segment == "**":
			p.rest = true
		case segment == "..":
			return p, ".. can't stand in a pattern"
		case segment != "*" && strings.Contains(segment, "*"):
			return p, "* must be a whole segment"
		default:
			p.segments = append(p.segments, segment)
		}
	}
	return p, ""
}

// match reports whether a path, decoded and without its query, matches. A path
// with a ".." segment matches every pattern, because its meaning depends on the
// service.
func (p *pattern) match(path string) bool {
	at := 0
	for rest := path; rest != ""; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		segment, _, _ = strings.Cut(segment, ";")
		if segment == "" || segment == "." {
			continue
		}
		if at == len(p.segments) {
			return p.rest || hasParent(path)
		}
		if p.segments[at] != "*" && !strings.EqualFold(p.segments[at], segment) {
			return hasParent(path)
		}
		at++
	}
	return at == len(p.segments) || hasParent(path)
}

// hasParent reports whether a path has a ".." segment.
func hasParent(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == ".." {
			return true
		}
	}
	return false
}
