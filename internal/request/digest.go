package request

// Digest is a SHA-256 of a request's body, so that a key reused with another
// body is told apart from a repeat.
type Digest [32]byte
