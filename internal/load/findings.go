package load

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

// findings is the faults of an answer.
type findings struct {
	wrongOffsets bool // tokens missing or duplicated
	wrongLength  bool
	wrongText    bool
}

func (f findings) intact() bool { return !f.wrongOffsets && !f.wrongLength && !f.wrongText }

// checkAnswer checks an answer to the request with the given body, whose
// max_tokens was tokens.
func checkAnswer(book *AnswerBook, body []byte, tokens int, o *caller.Outcome) findings {
	if o.End != caller.Answered {
		return findings{}
	}
	length := o.Tokens
	if o.Usage != nil && o.Usage.CompletionTokens != length {
		length = -1
	}
	return findings{
		wrongOffsets: o.Duplicated > 0 || o.Missing > 0,
		wrongLength:  length != tokens,
		wrongText:    !book.Agrees(xxh3.Hash(body), xxh3.Hash(o.Text)),
	}
}
