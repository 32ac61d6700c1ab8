package prefix

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
)

// blockBytes holds a block of words of up to 63 bytes, which is every
// ordinary block; a block of longer words goes to the heap.
const blockBytes = 64 * engineapi.BlockTokens

// Chain hashes the words of one prompt block by block as they come. The zero
// value is an empty prompt. It is not safe for concurrent use.
//
// The hash of a block is xxh3 over its words joined by single spaces, seeded
// with the hash of the block before it; the first block's seed is 0. Equal
// hashes therefore mean equal prompts up to and including the block.
type Chain struct {
	sum   uint64 // of the last full block
	words int    // in the block being filled
	total int    // since the start of the prompt
	used  int    // bytes of block
	block [blockBytes]byte
	long  []byte // in place of block once that is too small
}

// Word adds one word, which must hold no white space. When the word fills a
// block, full is true and sum is the block's chained hash.
func (c *Chain) Word(word string) (sum uint64, full bool) {
	c.open()
	c.put(word)
	return c.close()
}

// Tokens returns the number of words added.
func (c *Chain) Tokens() int { return c.total }

// open separates the next word from the one before it in the same block.
func (c *Chain) open() {
	if c.words > 0 {
		c.put(" ")
	}
}

// put adds bytes to the block being filled.
func (c *Chain) put(s string) {
	if c.long == nil && c.used+len(s) <= len(c.block) {
		c.used += copy(c.block[c.used:], s)
		return
	}
	if c.long == nil {
		c.long = append(make([]byte, 0, c.used+len(s)), c.block[:c.used]...)
	}
	c.long = append(c.long, s...)
}

// close ends a word, and the block when the word is its last.
func (c *Chain) close() (sum uint64, full bool) {
	c.words++
	c.total++
	if c.words < engineapi.BlockTokens {
		return 0, false
	}
	if c.long != nil {
		c.sum = xxh3.HashSeed(c.long, c.sum)
	} else {
		c.sum = xxh3.HashSeed(c.block[:c.used], c.sum)
	}
	c.words, c.used, c.long = 0, 0, nil
	return c.sum, true
}
