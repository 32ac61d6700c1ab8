package template

import (
	"fmt"
	"strings"
)

// pattern matches paths of a plain service. A segment * stands for any one
// segment, and ** at the end for any rest, also none. Letters match in either
// case; empty and "." segments and what follows a semicolon don't count: a
// service may take //Orders;a=b/ for /orders, and a call that is taken for a
// repeatable one by mistake could run twice.
type pattern struct {
	segments []string // lower case
	rest     bool     // ends in **
}

// compilePattern reads a pattern such as /orders, /orders/*/lines or /admin/**. A fault is
// what is wrong with it, empty for nothing.
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
// with a ".." segment matches every pattern, because which call it is depends
// on the service.
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

// hasParent reports whether a ".." segment stands in a path.
func hasParent(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == ".." {
			return true
		}
	}
	return false
}
