package prompt

import (
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Chain hashes a growing sequence of tokens block by block. A block's hash covers
// all tokens before it as well, so equal hashes mean equal prefixes. NewChain
// creates one.
type Chain struct {
	hash uint64
	n    int // tokens
}

// NewChain starts a sequence for one model. Each combination of model, adapter and
// version has a KV cache of its own, so equal prompts have different hashes. The
// version is the one in the request, which may be empty.
func NewChain(model fleet.ModelRef) Chain {
	h := xxh3.HashStringSeed(model.Model, 0)
	h = xxh3.HashStringSeed(model.Adapter, h)
	return Chain{hash: xxh3.HashStringSeed(model.Version, h)}
}

// Add appends one token and reports whether it completed a block, whose hash Hash
// then returns. White space around the token is ignored.
func (c *Chain) Add(token string) bool {
	c.hash = xxh3.HashStringSeed(strings.TrimSpace(token), c.hash)
	c.n++
	return c.n%engineapi.BlockTokens == 0
}

// Hash returns the hash of all tokens so far.
func (c *Chain) Hash() uint64 { return c.hash }

// Len returns the number of tokens so far.
func (c *Chain) Len() int { return c.n }

// Blocks returns the hashes of the full blocks of tokens. A partial last block has
// none.
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
