package request

import (
	"iter"
	"strings"
)

// MaxAnswerBytes limits an answer's text. 16 MiB is about four million tokens,
// more than any model's context. A faulty endpoint that sends more must not
// exhaust the daemon's memory.
const MaxAnswerBytes = 16 << 20

// Assembly assembles an answer from the pieces of one or more attempts. A piece
// is one token and its offset in the answer, counted in tokens from 0. The zero
// value is an empty answer. An Assembly must not be copied after its first Add.
//
// All tokens share one buffer, so a token takes four bytes in addition to its
// text and no allocation of its own.
type Assembly struct {
	text    strings.Builder
	ends    []uint32 // ends[i] is the offset in text at which token i ends
	attempt uint32   // the newest one
	done    bool
}

// Begin makes attempt the current one, unless a newer one is. Pieces of older
// attempts are dropped from then on: a late piece of an abandoned attempt may
// come from another engine, whose text can differ.
func (a *Assembly) Begin(attempt uint32) { a.attempt = max(a.attempt, attempt) }

// Add adds the piece at offset. A piece of a newer attempt than the current one
// makes that attempt the current one.
func (a *Assembly) Add(attempt uint32, offset int, text string) Result {
	if attempt < a.attempt {
		return Stale
	}
	a.attempt = attempt
	switch {
	case offset < 0:
		return Diverged
	case offset < len(a.ends):
		return a.compare(offset, text)
	case a.done:
		return Diverged
	case offset > len(a.ends):
		return Gap
	case a.text.Len()+len(text) > MaxAnswerBytes:
		return Overflow
	}
	a.text.WriteString(text)
	a.ends = append(a.ends, uint32(a.text.Len()))
	return Appended
}

// compare checks a repeated piece against the assembled one. They differ when an
// engine did not continue the text it was given; its later pieces must not be
// appended to that text.
func (a *Assembly) compare(offset int, text string) Result {
	if a.Token(offset) != text {
		return Diverged
	}
	return Duplicate
}

// Done handles the end of an attempt, which states the length of the complete
// answer in tokens.
func (a *Assembly) Done(attempt uint32, length int) Result {
	switch {
	case attempt < a.attempt:
		return Stale
	case length < len(a.ends):
		return Diverged
	case length > len(a.ends):
		return Gap
	}
	a.attempt = attempt
	a.done = true
	return Complete
}

// Len returns the number of tokens so far, which is the offset of the next one.
func (a *Assembly) Len() int { return len(a.ends) }

// Bytes returns the memory allocated for the answer.
func (a *Assembly) Bytes() int { return a.text.Cap() + 4*cap(a.ends) }

// Complete reports whether the answer is complete.
func (a *Assembly) Complete() bool { return a.done }

// Attempt returns the number of the newest attempt.
func (a *Assembly) Attempt() uint32 { return a.attempt }

// Text returns the text so far without copying it.
func (a *Assembly) Text() string { return a.text.String() }

// Token returns the token at offset, 0 <= offset < Len, without copying it.
func (a *Assembly) Token(offset int) string {
	start := uint32(0)
	if offset > 0 {
		start = a.ends[offset-1]
	}
	return a.text.String()[start:a.ends[offset]]
}

// From yields the tokens from offset on, with their offsets.
func (a *Assembly) From(offset int) iter.Seq2[int, string] {
	return func(yield func(int, string) bool) {
		for i := max(offset, 0); i < len(a.ends); i++ {
			if !yield(i, a.Token(i)) {
				return
			}
		}
	}
}

// Tokens returns the tokens from offset on. They share the answer's memory.
func (a *Assembly) Tokens(offset int) []string {
	offset = max(offset, 0)
	if offset >= len(a.ends) {
		return nil
	}
	out := make([]string, 0, len(a.ends)-offset)
	for _, t := range a.From(offset) {
		out = append(out, t)
	}
	return out
}
