package prompt

import (
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Chain hashes a growing sequence of tokens block by block. A block's hash
// covers every token before it, so equal hashes mean equal prefixes. Make one
// with NewChain.
type Chain struct {
	hash uint64
	n    int
}

// NewChain starts a sequence for one model. Models, adapters and versions have
// KV caches of their own, so their chains never meet. The version is the one
// that the request names, which may be empty.
func NewChain(model fleet.ModelRef) Chain {
	h := xxh3.HashStringSeed(model.Model, 0)
	h = xxh3.HashStringSeed(model.Adapter, h)
	return Chain{hash: xxh3.HashStringSeed(model.Version, h)}
}

// Add appends one token and reports whether it completed a block, whose hash
// is then Hash. White space around the token doesn't count.
func (c *Chain) Add(token string) bool {
	c.hash = xxh3.HashStringSeed(strings.TrimSpace(token), c.hash)
	c.n++
	return c.n%engineapi.BlockTokens == 0
}

// Hash returns the hash of all tokens so far.
func (c *Chain) Hash() uint64 { return c.hash }

// Len returns the number of tokens so far.
func (c *Chain) Len() int { return c.n }

// Blocks returns the hashes of the whole leading blocks of tokens. A last
// block that isn't full has none.
func Blocks(model fleet.ModelRef, tokens []string) []uint64 {
	c := NewChain(model)
	hashes := make([]uint64, 0, len(tokens)/engineapi.BlockTokens)
	for _, t := range tokens {
		if c.Add(t) {
			hashes = append(hashes, c.hash)
		}
	}
	return hashes
}
