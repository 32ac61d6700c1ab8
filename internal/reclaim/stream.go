package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Stream is an answer that an endpoint is generating.
type Stream struct {
	Ref           request.Ref
	Endpoint      fleet.EndpointID
	Model         fleet.ModelRef
	Prompt        int           // tokens
	Generated     int           // tokens so far
	Remaining     time.Duration // estimated time until the answer is complete
	KVBytes       int64         // of its KV cache
	Shared        int           // tokens of its prefix that other requests would find cached
	NonIdempotent bool          // must not be dispatched again
}

// prefillTokens returns the tokens that a recompute has to prefill.
func (s Stream) prefillTokens() int { return s.Prompt + s.Generated }

// savedTokens returns the tokens that need not be recomputed after an export.
func (s Stream) savedTokens() int { return s.prefillTokens() + s.Shared }
