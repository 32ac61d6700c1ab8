package daemon

import (
	"context"
	"encoding/hex"

	"storj.io/drpc/drpcmetadata"

	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
)

const (
	// digestMetadata is the key under which a call to another daemon carries the
	// digest of the caller's body, in hexadecimal.
	digestMetadata = "body-digest"
	// codeOtherBody answers a call whose digest is not the held request's.
	codeOtherBody = 1
)

// withDigest lets the calls under ctx carry a digest; a zero one is left out.
//
// A key may be used for another request through another entry than the first time; the caller
// would get the answer to a different question. Only the holder has the first body, so it compares.
func withDigest(ctx context.Context, d request.Digest) context.Context {
	if d == (request.Digest{}) {
		return ctx
	}
	return drpcmetadata.Add(ctx, digestMetadata, hex.EncodeToString(d[:]))
}

// digestIn returns the digest that a call carries, zero where it has none.
func digestIn(ctx context.Context) request.Digest {
	var d request.Digest
	all, _ := drpcmetadata.Get(ctx)
	text := all[digestMetadata]
	if hex.DecodedLen(len(text)) != len(d) {
		return d
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return request.Digest{}
	}
	return d
}
