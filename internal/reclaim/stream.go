package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

// Stream is a request's running answer on an endpoint.
type Stream struct {
	Ref           request.Ref
	Endpoint      fleet.EndpointID
	Model         fleet.ModelRef
	Prompt        int           // tokens
	Generated     int           // tokens so far
	Remaining     time.Duration // estimate until the answer is whole
	KVBytes       int64         // size of its KV cache
	Shared        int           // tokens of its prefix that other requests would find cached
	NonIdempotent bool          // may not be dispatched again: non-idempotent
}

// prefillTokens returns what a recompute prefills.
func (s Stream) prefillTokens() int { return s.Prompt + s.Generated }

// savedTokens returns the recomputed tokens that an export saves.
func (s Stream) savedTokens() int { return s.prefillTokens() + s.Shared }
