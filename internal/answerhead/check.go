// Package answerhead checks the heads of answers: net/http takes any three digits for a status, and names of fields
// with spaces.
package answerhead

import (
	"fmt"
	"net/http"
	"strings"
)

// Kind is why a head is none of an answer, as one of few words.
type Kind string

// The kinds.
const (
	InvalidStatus Kind = "invalid-status" // a status that HTTP doesn't have
	InvalidName   Kind = "invalid-head"   // a field's name that is no token
)

// Error says that a head is none of an answer.
type Error struct {
	Kind Kind
	Text string // the beginning of what was found
}

// maxText bounds Error.Text, in bytes.
const maxText = 80

func newError(k Kind, text string) *Error {
	return &Error{Kind: k, Text: text[:min(len(text), maxText)]}
}

func (e *Error) Error() string { return fmt.Sprintf("invalid answer: %s: %q", e.Kind, e.Text) }

// Check returns an error for a head that net/http reads but HTTP/1 doesn't allow, nil for another one.
func Check(resp *http.Response) *Error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return newError(InvalidStatus, resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error for a header with a name that is no token. Of the bytes that a token can't have, net/http
// lets only spaces through. A name with a space could be that of a field which others read as the one that states the
// body's length.
func checkNames(h map[string][]string) *Error {
	for name := range h {
		if name == "" || strings.ContainsRune(name, ' ') {
			return newError(InvalidName, name)
		}
	}
	return nil
}
