package load

import "sync"

// AnswerBook keeps a hash of the answer to each prompt. The stand-in engines'
// text depends on the prompt alone, so two answers to one prompt that differ
// prove that pieces were lost, doubled or mixed up. Safe for concurrent use.
type AnswerBook struct {
	mu      sync.Mutex
	answers map[uint64]uint64
}

// NewAnswerBook returns an empty book.
func NewAnswerBook() *AnswerBook { return &AnswerBook{answers: make(map[uint64]uint64)} }

// Agrees reports whether the hash of an answer is that of the earlier answers
// to the prompt with the given hash. The first one is noted and agrees.
func (b *AnswerBook) Agrees(prompt, answer uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.answers[prompt]
	if !ok {
		b.answers[prompt] = answer
		return true
	}
	return known == answer
}
