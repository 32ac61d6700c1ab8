// Package answerhead checks the heads of answers: net/http takes any three digits for a status.
package answerhead

import (
	"fmt"
	"net/http"
)

// Kind is why a head is none of an answer, as one of few words.
type Kind string

// InvalidStatus is a status that HTTP doesn't have.
const InvalidStatus Kind = "invalid-status"

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
	return nil
}
