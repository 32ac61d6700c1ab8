package upstream

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/cyclamenbeam/cyclamenbeam/internal/answerhead"
)

// Kind is why bytes aren't the answer to a call, as one of few words.
type Kind string

// The kinds.
const (
	InvalidHead   = Kind(answerhead.InvalidName)   // no head of an HTTP/1 answer, or one without an end
	InvalidStatus = Kind(answerhead.InvalidStatus) // a status that HTTP doesn't have

	InvalidFraming  Kind = "invalid-framing"    // chunks that are none
	SeveralIDs      Kind = "several-requests"   // the head names this request and another one
	ForeignTrailer  Kind = "foreign-trailer"    // the trailer names another request
	ForeignAnswers  Kind = "foreign-answers"    // only answers that name other requests
	UnnamedAnswer   Kind = "unnamed-answer"     // names no request, on a connection that has carried others
	BytesAfterWhole Kind = "bytes-after-answer" // further bytes after a whole answer
)

// InvalidError says that an endpoint sent bytes that aren't the answer to a call. Its connection isn't used
// again.
type InvalidError struct {
	Kind   Kind
	Text   string // the beginning of what was found, or what a parser says of it
	Reused bool   // the connection has carried another call before
	cause  error
}

// maxInvalidText bounds InvalidError.Text, in bytes.
const maxInvalidText = 80

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid answer: %s: %q", e.Kind, e.Text)
}

// Unwrap returns the parser's error, nil if there is none.
func (e *InvalidError) Unwrap() error { return e.cause }

// invalid returns an error about bytes of the connection.
func (c *conn) invalid(k Kind, text string) *InvalidError {
	return &InvalidError{Kind: k, Text: text[:min(len(text), maxInvalidText)], Reused: c.reused}
}

// parseError returns a parser's error as that of the bytes, unless reading them has failed.
func (c *conn) parseError(k Kind, err error) error {
	if c.readFailed {
		return err
	}
	out := c.invalid(k, err.Error())
	out.cause = err
	return out
}

// checkHead returns an error for a head that net/http reads but HTTP/1 doesn't allow.
func (c *conn) checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return c.invalid(InvalidHead, resp.Proto)
	}
	if err := answerhead.Check(resp); err != nil {
		return c.invalid(Kind(err.Kind), err.Text)
	}
	if holdsStatusLine(resp.Status) {
		return c.invalid(InvalidHead, resp.Status)
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if holdsStatusLine(v) {
				return c.invalid(InvalidHead, v)
			}
		}
	}
	return nil
}

// statusLine matches the beginning of an answer's head.
var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}`)

// holdsStatusLine reports whether a line of a head has the beginning of another one: a late answer that was cut off
// there would lend its status to the answer that follows.
func holdsStatusLine(line string) bool {
	return strings.Contains(line, "HTTP/1.") && statusLine.MatchString(line)
}

// OwnerOf returns the request that an answer names by the values of a header.
func OwnerOf(values []string, id string) Ownership {
	own := 0
	for _, v := range values {
		if v == id {
			own++
		}
	}
	switch {
	case len(values) == 0:
		return NoRequest
	case own == len(values):
		return ThisRequest
	case own == 0:
		return OtherRequest
	default:
		return SeveralRequests
	}
}

// Invalid returns an error that says why the answer is none to the call.
func (a *Answer) Invalid(k Kind, text string) *InvalidError { return a.conn.invalid(k, text) }

// Trailing returns an error if bytes follow an answer that was read to its end.
func (a *Answer) Trailing() error {
	n := a.conn.r.Buffered()
	if !a.complete || n == 0 {
		return nil
	}
	text, _ := a.conn.r.Peek(min(n, maxInvalidText))
	return a.conn.invalid(BytesAfterWhole, string(text))
}
