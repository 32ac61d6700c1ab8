package engine

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
)

// export stops a stream and returns its KV cache after the time that the link
// takes. Exports of one engine share the link one after another.
func (e *Engine) export(ctx context.Context, s *stream) (engineapi.KVBlob, bool) {
	s.cancel()
	<-s.done
	select {
	case e.exporting <- struct{}{}:
	case <-ctx.Done():
		return engineapi.KVBlob{}, false
	}
	defer func() { <-e.exporting }()
	blob := e.blobOf(s)
	seconds := float64(blob.Bytes) / float64(e.o.LinkBytes)
	at := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	return blob, sleepUntil(ctx, at)
}

// blobOf describes the KV cache of a stopped stream. A stream that stopped
// before its prefill was over has none.
func (e *Engine) blobOf(s *stream) engineapi.KVBlob {
	s.mu.Lock()
	defer s.mu.Unlock()
	blob := engineapi.KVBlob{
		ID:        uuid.NewString(),
		Model:     s.model.Model,
		Adapter:   s.model.Adapter,
		Version:   s.model.Version,
		Prompt:    s.rendered,
		Generated: tokens(s.seed, s.produced),
	}
	if s.prefilled {
		blob.Tokens = len(s.prompt) + s.produced
	}
	blob.Bytes = int64(blob.Tokens) * e.o.KVBytesPerToken
	return blob
}

// importBlob keeps a blob for the completion that names it. The time on the
// link was spent by the export.
func (e *Engine) importBlob(blob engineapi.KVBlob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blobs.put(blob)
	for _, hash := range blobBlocks(blob) {
		e.store(hash)
	}
}

// blobBlocks returns the blocks that a blob holds.
func blobBlocks(blob engineapi.KVBlob) []uint64 {
	all := append(prompt.Tokens(blob.Prompt), blob.Generated...)
	n := max(0, min(blob.Tokens, len(all)))
	return prompt.Blocks(fleet.ModelRef{Model: blob.Model, Adapter: blob.Adapter, Version: blob.Version}, all[:n])
}
