package load

import "sync"

// AnswerBook holds a hash of the answer to each prompt. The text of the stand-in
// engines depends on the prompt alone, so two different answers to one prompt
// show that parts were lost, duplicated or mixed up. Safe for concurrent use.
type AnswerBook struct {
	mu      sync.Mutex
	answers map[uint64]uint64
}

// NewAnswerBook returns an empty book.
func NewAnswerBook() *AnswerBook { return &AnswerBook{answers: make(map[uint64]uint64)} }

// Agrees reports whether the hash of an answer equals that of the first answer to
// the prompt with the given hash. The first answer is stored and agrees.
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
