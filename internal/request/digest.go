package request

// Digest is the SHA-256 of a request's body. It distinguishes a retry of a
// request from another request that reuses its idempotency key.
type Digest [32]byte
